# Functions for runs with real processes, sourced by tests/demo and by the
# tests in this folder. The caller sets build, the folder of the programs, and
# may change the variables of the fleet before it calls fleet_layout.
#
# Every process is started by start() and ended by its id in finish().
# shellcheck shell=bash
set -u
set +m
: "${build:?the folder of the programs}"

# The fleet: daemon i runs in data centre vm_dcs[i].
records=${records:-share/records.txt}
shards=8
copies=2
dcs=(dc-a dc-b dc-c)
vm_dcs=(dc-a dc-b dc-c dc-c)
bench_policy=latency
bench_limits='"slots":2,"queue":1,"connections":25,"cold_slots":1,"ramp_ms":500'
bench_args=(--slots 2 --queue 1 --connections 25 --connect-ms 6
	--service-us 3000 --cold-ms 200 --cold-slots 1)
desk_args=(--slots 4 --queue 2 --connections 45 --connect-ms 1
	--service-us 5000)
vm_settings=

work=$(mktemp -d)
letters=abcdefgh
keep_work=${KEEP_WORK:-0}
declare -A pids=()
platform_port=0
next_port=0
http_ports=()
peer_ports=()
roster_ports=()
desk_ports=()
declare -A dc_ports=()
declare -A shard_ports=()
declare -A replica_port=()

# Ends what was started; the files stay if keep_work is not 0.
finish() {
	local pid
	touch "$work/load.stop"
	for pid in "${pids[@]}"; do
		kill -CONT "$pid" 2>/dev/null
		kill -KILL "$pid" 2>/dev/null
	done
	for pid in "${pids[@]}"; do
		wait "$pid" 2>/dev/null
	done
	if [ "$keep_work" -eq 0 ]; then
		rm -rf "$work"
	else
		echo "logs and settings are in $work" >&2
	fi
}
trap finish EXIT
trap 'exit 1' INT TERM

# start NAME COMMAND...: runs a program in the background.
start() {
	local name=$1
	shift
	"$@" >>"$work/$name.out" 2>>"$work/$name.log" &
	pids[$name]=$!
}

# signal NAME SIGNAL: to one process that start() started.
signal() {
	kill -"$2" "${pids[$1]}"
}

# ended NAME: waits for a process and returns its exit status.
ended() {
	wait "${pids[$1]}" 2>/dev/null
	local status=$?
	unset "pids[$1]"
	return "$status"
}

is_running() {
	kill -0 "${pids[$1]}" 2>/dev/null
}

pick() {
	"$build/pick" "$1"
}

# until_true SECONDS COMMAND...
until_true() {
	local end=$((SECONDS + $1))
	shift
	until "$@" >/dev/null 2>&1; do
		[ "$SECONDS" -ge "$end" ] && return 1
		sleep 0.1
	done
}

# Starts the platform on the first port of a block of 100 that no other run
# uses. Its listening socket keeps other runs out of the block.
start_platform() {
	local block try
	if [ "$platform_port" -ne 0 ]; then
		start platform "$build/platform" --port "$platform_port" \
			--rate 2000
		until_true 20 stats "$platform_port"
		return
	fi
	for ((try = 0; try < 120; try++)); do
		block=$((($$ + try) % 120))
		platform_port=$((20000 + block * 100))
		start platform "$build/platform" --port "$platform_port" \
			--rate 2000
		until ! is_running platform || stats "$platform_port" \
			>/dev/null; do
			sleep 0.05
		done
		# Another run's platform answers as well; ours then ends.
		sleep 0.1
		if is_running platform; then
			next_port=$((platform_port + 1))
			return 0
		fi
		ended platform
	done
	echo "no block of ports is free" >&2
	exit 1
}

# Sets port to the next one of the block that nobody listens on.
free_port() {
	while :; do
		port=$next_port
		next_port=$((next_port + 1))
		(exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null || return 0
	done
}

url() {
	echo "http://127.0.0.1:${http_ports[$1]}"
}

# lookup VM-INDEX QUERY [CURL ARGUMENTS]: prints the answer.
lookup() {
	local vm=$1 query=$2
	shift 2
	curl -s -m 20 "$@" -H "Deadline-Ms: ${deadline_ms:-2000}" \
		-d "{\"query\":\"$query\",\"limit\":100000}" \
		"$(url "$vm")/v1/bench-assist/lookup"
}

# order VM-INDEX KEY [CURL ARGUMENTS]: prints the answer.
order() {
	local vm=$1 key=$2
	shift 2
	curl -s -m 20 "$@" -H "Deadline-Ms: ${deadline_ms:-2000}" \
		-H "Idempotency-Key: $key" \
		-d '{"item":"HF-0042","quantity":2}' \
		"$(url "$vm")/v1/desk-dispatch/order"
}

new_key() {
	echo "$(date +%s%3N)-$1"
}

stats() {
	curl -s -f -m 5 "http://127.0.0.1:$1/control/stats"
}

# control PORT JSON: tells a stand-in what to do.
control() {
	curl -s -f -m 5 -d "$2" "http://127.0.0.1:$1/control" >/dev/null
}

# sum PATH PORT...: adds a number of the statistics up.
sum() {
	local path=$1 total=0 value
	shift
	for port in "$@"; do
		value=$(stats "$port" | pick "$path")
		total=$((total + ${value:-0}))
	done
	echo "$total"
}

# most PATH PORT...: the highest of a number of the statistics; "missing" if one
# stand-in does not give it.
most() {
	local path=$1 highest=0 value
	shift
	for port in "$@"; do
		value=$(stats "$port" | pick "$path")
		[ -n "$value" ] || {
			echo missing
			return
		}
		[ "$value" -gt "$highest" ] && highest=$value
	done
	echo "$highest"
}

bench_ports() {
	local ports
	for ports in "${shard_ports[@]}"; do
		echo "$ports"
	done
}

coverage_is_full() {
	[ "$(lookup "$1" blade | pick coverage)" = 1 ]
}

# order_runs VM-INDEX: a new order ends as ok.
order_runs() {
	[ "$(order "$1" "$(new_key probe)" | pick status)" = ok ]
}

# ready_is VM-INDEX true|false
ready_is() {
	curl -s -m 5 "$(url "$1")/ready" | grep -q "$2"
}

all_ready() {
	local i
	for i in "${!http_ports[@]}"; do
		ready_is "$i" true || return 1
	done
}

# config_is VM-INDEX VERSION
config_is() {
	[ "$(curl -s -m 5 "$(url "$1")/v1/admin/status" |
		pick config_version)" = "$2" ]
}

# Servers of all daemons for gentianctl.
servers() {
	local list
	list=$(printf ',127.0.0.1:%s' "${http_ports[@]}")
	echo "${list#,}"
}

# ctl WORD...: runs gentianctl with all daemons as its servers.
ctl() {
	"$build/gentianctl" --server="$(servers)" "$@"
}

# change INTENT WORD...: makes a plan and confirms it.
change() {
	ctl --output="$work/plan" plan "$@" && ctl confirm "$work/plan"
}

# Prints what the sanitizers found, nothing if all is well.
sanitizer_reports() {
	grep -h -e Sanitizer -e 'runtime error' "$work"/*.log
}

# bench_replica SHARD COPY DC: notes one replica; sets json to its element.
declare -A replica_args=()
bench_replica() {
	free_port
	replica_args[$3]+=" --replica bench-$1-$2=$port:$1:$shards"
	replica_port[bench-$1-$2]=$port
	dc_ports[$3]+=" $port"
	shard_ports[$1]+=" $port"
	json="{\"name\":\"bench-$1-$2\",\"host\":\"127.0.0.1\","
	json+="\"port\":$port,\"dc\":\"$3\"}"
}

# write_settings VM-INDEX: the settings file of one daemon.
write_settings() {
	cat >"$work/vm$(($1 + 1)).ini" <<END
[vm]
id = $(($1 + 1))
name = vm$(($1 + 1))
dc = ${vm_dcs[$1]}
host = 127.0.0.1
peer_port = ${peer_ports[$1]}
http_port = ${http_ports[$1]}

[platform]
host = 127.0.0.1
port = $platform_port

[peers]
seeds =$seeds

# All VMs share one clock.
[orders]
clock_skew_ms = 500

$vm_settings
END
}

# Chooses ports, writes the settings files and the configuration. The roster
# names roster_ports, which a caller may have set to the ports of relays.
fleet_layout() {
	local i copy dc replicas desk='' vms='' bench='' docs
	for i in "${!vm_dcs[@]}"; do
		free_port && http_ports[i]=$port
		[ -n "${peer_ports[i]:-}" ] || {
			free_port && peer_ports[i]=$port
		}
		[ -n "${roster_ports[i]:-}" ] ||
			roster_ports[i]=${peer_ports[i]}
	done
	for ((i = 0; i < shards; i++)); do
		replicas=
		for ((copy = 0; copy < copies; copy++)); do
			bench_replica "$i" "${letters:copy:1}" \
				"${dcs[(i + copy) % ${#dcs[@]}]}"
			replicas+="${replicas:+,}$json"
		done
		bench+="${bench:+,}{\"replicas\":[$replicas]}"
	done
	docs=$("$build/upstream" --records "$records" --count "$shards" |
		paste -sd,)
	for dc in "${dcs[@]}"; do
		free_port
		desk_ports+=("$port")
		dc_ports[$dc]+=" $port"
		replica_port[desk-$dc]=$port
		desk_args+=(--replica "desk-$dc=$port:0:1")
		desk+="${desk:+,}{\"name\":\"desk-$dc\","
		desk+="\"host\":\"127.0.0.1\",\"port\":$port,\"dc\":\"$dc\"}"
	done
	seeds=
	for i in "${!vm_dcs[@]}"; do
		vms+="${vms:+,}{\"id\":$((i + 1)),\"name\":\"vm$((i + 1))\","
		vms+="\"host\":\"127.0.0.1\","
		vms+="\"peer_port\":${roster_ports[i]},"
		vms+="\"http_port\":${http_ports[i]},\"dc\":\"${vm_dcs[i]}\"}"
		seeds+=" $((i + 1))@127.0.0.1:${roster_ports[i]}"
	done
	for i in "${!vm_dcs[@]}"; do
		write_settings "$i"
	done
	cat >"$work/config" <<END
{"epoch":1,
"dcs":[$(printf ',{"name":"%s","region":"north"}' "${dcs[@]}" | cut -c2-)],
"vms":[$vms],
"services":[
{"name":"bench-assist","policy":"$bench_policy","priority":0,"deadline_ms":200,
 "limits":{$bench_limits},
 "shards":[$bench],"snapshots":[{"id":1,"docs":[$docs]}]},
{"name":"desk-dispatch","policy":"coverage","priority":0,"deadline_ms":500,
 "limits":{"slots":4,"queue":2,"connections":45,"cold_slots":1,"ramp_ms":500},
 "shards":[{"replicas":[$desk]}],"snapshots":[{"id":1,"docs":[0]}]}]}
END
}

# The upstreams of one data centre share a process.
start_upstreams() {
	local dc
	for dc in "${dcs[@]}"; do
		# shellcheck disable=SC2086
		start "upstream-$dc" "$build/upstream" --service bench-assist \
			--records "$records" "${bench_args[@]}" \
			${replica_args[$dc]}
	done
	start upstream-desk "$build/upstream" --service desk-dispatch \
		"${desk_args[@]}"
	# shellcheck disable=SC2046
	for port in $(bench_ports) "${desk_ports[@]}"; do
		until_true 20 stats "$port"
	done
}

write_config() {
	until_true 20 curl -s -f -X PUT -H 'If-Match: "0"' \
		--data-binary @"$work/config" \
		"http://127.0.0.1:$platform_port/objects/gentianbend/config"
}

# start_vm VM-INDEX
start_vm() {
	start "vm$(($1 + 1))" "$build/gentianbend" \
		--settings "$work/vm$(($1 + 1)).ini"
}

# Starts everything; returns when lookups are complete and orders run.
fleet_start() {
	local i
	[ "$platform_port" -ne 0 ] || start_platform
	fleet_layout
	start_upstreams
	write_config
	for i in "${!vm_dcs[@]}"; do
		start_vm "$i"
	done
	until_true 30 all_ready
	for i in "${!vm_dcs[@]}"; do
		until_true 30 coverage_is_full "$i"
		until_true 30 order_runs "$i"
	done
}
