# Answers that belong to another attempt or shard, are cut short or are no
# JSON. Guards against counting their documents (P2, P5).
shards=3
copies=1
fleet_start
port=${shard_ports[0]# }
docs=$(stats "$port" | pick documents)

# Documents that a lookup misses; a retry may have found them after all.
missing() {
	local answer searched total
	answer=$(deadline_ms=400 lookup 0 blade)
	searched=$(echo "$answer" | pick documents.searched)
	total=$(echo "$answer" | pick documents.total)
	echo $((total - searched))
}

for kind in attempt shard json cut lost; do
	before=$(sum begun "$port")
	control "$port" "{\"spoil\":\"$kind\"}"
	missed=$(missing)
	runs=$(($(sum begun "$port") - before))
	holds "$kind: nothing is counted without a second run" \
		test "$missed" = "$docs" -o "$missed" = 0 -a "$runs" -gt 1
	holds "$kind: complete again" until_true 10 coverage_is_full 0
done

control "$port" '{"snapshots":[2]}'
fact "documents of another snapshot are missed" \
	"$([ "$(missing)" = "$docs" ] && echo yes || echo no)"
control "$port" '{"snapshots":[1]}'
holds "complete again" until_true 10 coverage_is_full 0

control "$port" '{"freeze_ms":2000}'
fact "documents of a frozen upstream are missed" \
	"$([ "$(missing)" = "$docs" ] && echo yes || echo no)"
holds "complete again" until_true 10 coverage_is_full 0

at_most "requests in flight at the upstream" 3 "$(sum in_flight_most "$port")"
fact "connections refused" "$(sum refused "$port")"
end_test
