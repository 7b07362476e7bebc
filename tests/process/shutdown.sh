# SIGTERM under load, then SIGTERM twice. Guards against requests that a
# graceful stop cuts, and against a stop that cannot be cut short.
# A call to an upstream ends with the lease at the latest.
vm_settings='[quorum]
lease_ms = 8000'
fleet_start

# The balancer stops to send callers when the readiness is off; this load asks
# before each request, as callers behind it would find.
balanced_worker() {
	while [ ! -e "$work/load.stop" ]; do
		ready_is 0 true || continue
		lookup 0 "blade profile BP-000" \
			-w ' %{http_code}\n' >>"$work/balanced.$1"
	done
}
for i in 1 2 3; do
	balanced_worker $i &
	pids[load-balanced-$i]=$!
done
load_start 2 1 1 2 3
load_more 30
# Requests that run while the signal comes.
for i in 1 2 3 4; do
	order 0 "$(new_key running-$i)" -w ' %{http_code}\n' \
		>"$work/running.$i" &
	callers[i]=$!
done
signal vm1 TERM
holds "the readiness goes off while requests are still answered" \
	until_true 5 ready_is 0 false
ended vm1
fact "exit status" $?
for i in 1 2 3 4; do
	wait "${callers[i]}"
done
load_more 30
load_stop
fact "running orders without an answer" \
	"$(cat "$work"/running.? | grep -v -c ' 200$')"
fact "lookups at the VM that stopped without a complete answer" \
	"$(cat "$work"/balanced.? | grep -v -c '"coverage":1,.* 200$')"
fact "lookups at the others without a complete answer" \
	"$(incomplete_lookups)"
fact "stop_end events that name no cut request" \
	"$(grep -c 'stop_end .*requests_cut=0' "$work/vm1.log")"

# A request that takes longer than the test waits holds the first stop up.
for port in $(bench_ports); do
	control "$port" '{"freeze_ms":15000}'
done
deadline_ms=15000 lookup 1 blade >/dev/null &
caller=$!
running() {
	[ "$(curl -s -m 5 "$(url 1)/v1/admin/status" |
		pick queries_running)" -ge 1 ]
}
holds "a lookup runs" until_true 10 running
signal vm2 TERM
holds "the readiness is off" until_true 5 ready_is 1 false
sleep 1.5
holds "the stop waits for the lookup" is_running vm2
signal vm2 TERM
before=$SECONDS
ended vm2
fact "exit status after the second signal" $?
at_most "seconds until it ended" 5 $((SECONDS - before))
wait "$caller"
end_test
