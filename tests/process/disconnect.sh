# Callers disconnect while their requests run. Guards against upstream work
# that goes on for nobody.
fleet_start
# shellcheck disable=SC2046
for port in $(bench_ports) "${desk_ports[@]}"; do
	control "$port" '{"freeze_ms":8000}'
done
begun() {
	[ "$(sum begun "${search[@]}")" -ge $((before + shards)) ]
}
# shellcheck disable=SC2207
search=($(bench_ports))
before=$(sum begun "${search[@]}")
deadline_ms=20000 lookup 0 blade >/dev/null &
caller=$!
holds "the lookup runs at an upstream of each shard" until_true 10 begun
calls_end() {
	local i
	for i in 0 1 2 3; do
		[ "$(curl -s -m 5 "$(url $i)/v1/admin/status" |
			pick calls_running)" = 0 ] || return 1
	done
}
holds "it has calls under way" sh -c '! "$@"' sh false
cancelled=$(sum cancelled "${search[@]}")
kill "$caller" 2>/dev/null
end_test
