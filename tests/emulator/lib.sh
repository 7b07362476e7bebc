# Runs VMs of role "front" beside the emulator. Each test has its own loopback
# addresses, from 127.0.NET.1, so that several tests can run at once.

# write_settings DIR NET INDEX VMS: writes the settings file of one VM; $memory
# is the memory in MB that it may use, $apply_ms and $stable_ms are bounds, and
# $exposure is "SHARE EXTRA" of a version that is rolled out, if set; with $keys
# set, keys and limits of organisations are strict; $shares has the processor cores
# of each VM
write_settings() {
	local seeds= i
	i=1
	while [ "$i" -le "$4" ] && [ "$i" -le 3 ]; do
		seeds="$seeds${seeds:+,}127.0.$2.$i:8106"
		i=$((i + 1))
	done
	cat >"$1/vm$3.ini" <<-EOF
	[vm]
	name = vm$3
	dc = dc-a
	role = front
	[front]
	listen = 127.0.$2.$3:8104
	ready = 127.0.$2.$3:8108
	control = 127.0.$2.$3:8106
	seeds = $seeds
	member_port = 7380
	[platform]
	address = 127.0.$2.200:8102
	[bounds]
	drain_ms = 3000
	grace_s = 6
	${memory:+memory_mb = $memory}
	${apply_ms:+apply_ms = $apply_ms}
	${stable_ms:+stable_ms = $stable_ms}
	${exposure:+exposure_share = ${exposure% *}}
	${exposure:+exposure_extra = ${exposure#* }}
	${keys:+revoke_ms = 5000}
	${shares:+processor_share = $(echo "$shares" | cut -d' ' -f"$3")}
	${keys:+quota_tolerance = 20}
	retry_ratio = 0.2
	retry_extra = 58
	EOF
}

# start_vm DIR NET INDEX: starts the VM and keeps its process id. A VM that ends by a
# signal other than SIGTERM and SIGKILL, or with a failure, is noted in DIR/crashed.
start_vm() {
	rm -f "$1/vm$3.pid"
	(
		"$build/gentianbend" --settings "$1/vm$3.ini" \
			>>"$1/vm$3.log" 2>>"$1/vm$3.err" &
		echo $! >"$1/vm$3.pid"
		wait $!
		status=$?
		case $status in
		0 | 137 | 143) ;;
		*) echo "vm$3: status $status" >>"$1/crashed" ;;
		esac
	) 2>/dev/null &
	disown
	until [ -s "$1/vm$3.pid" ]; do
		sleep 0.01
	done
}

# signal_vm DIR INDEX SIGNAL
signal_vm() {
	kill -"$3" "$(cat "$1/vm$2.pid")" 2>/dev/null
}

# wait_stopped DIR INDEX: waits until the process of the VM has ended
wait_stopped() {
	while kill -0 "$(cat "$1/vm$2.pid")" 2>/dev/null; do
		sleep 0.05
	done
}

# stop_all DIR
stop_all() {
	for file in "$1"/*.pid; do
		kill -KILL "$(cat "$file")" 2>/dev/null
	done
}

# at MILLISECONDS: waits until that time since the emulator's start
at() {
	local left=$((started + $1 - $(date +%s%N) / 1000000))

	[ "$left" -gt 0 ] && sleep "$((left / 1000)).$(printf %03d $((left % 1000)))"
}

# peak_within MB: the peak memory of VM 1 so far
peak_within() {
	local kb

	kb=$(sed -n 's/^VmHWM:[[:space:]]*\([0-9]*\) kB$/\1/p' \
		"/proc/$(cat "$dir/vm1.pid")/status")
	if [ -n "$kb" ] && [ "$kb" -le $(($1 * 1000)) ]; then
		echo "peak memory at most $1 MB: yes"
		echo "peak memory: $kb kB" >&2
	else
		echo "peak memory at most $1 MB: no"
		echo "peak memory: ${kb:-process ended} kB" >&2
	fi
}

# descriptors_within N: the open descriptors of VM 1 now
descriptors_within() {
	local open

	set -- "$1" "/proc/$(cat "$dir/vm1.pid")/fd/"*
	open=$(($# - 1))
	if [ -e "$2" ] && [ "$open" -le "$1" ]; then
		echo "open descriptors at most $1: yes"
	else
		echo "open descriptors at most $1: no"
	fi
	echo "open descriptors: $open" >&2
}
