# An upstream crashes under load, and stalls just after its restart. Guards against an
# upstream that was slow once and receives no work any more, while another one of its
# shard has a free slot.
bench_args=(--slots 4 --queue 2 --connections 25 --connect-ms 2
	--service-us 3000 --cold-ms 1000 --cold-slots 1)
bench_limits='"slots":4,"queue":2,"connections":25,"cold_slots":1,"ramp_ms":4500'
shards=3
fleet_start
load_start 3 0 0 1 2 3
load_more 100
port=${replica_port[bench-0-a]}
control "$port" '{"die":true,"for_ms":500}'
holds "it comes back" until_true 20 stats "$port"
begun=$(stats "$port" | pick begun)
control "$port" '{"freeze_ms":1500}'
works_again() {
	[ "$(stats "$port" | pick begun)" -gt $((begun + 20)) ]
}
holds "it receives work again" until_true 30 works_again
load_stop
fact "deaths" "$(stats "$port" | pick deaths)"
for i in 0 1 2 3; do
	holds "vm$((i + 1)) finds all records" until_true 20 coverage_is_full $i
done
end_test
