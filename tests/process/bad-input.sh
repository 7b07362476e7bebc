# Callers send malformed and hostile input. Guards against a crash, a refusal
# without its type, and leaks of descriptors and memory.
# AddressSanitizer keeps freed memory in a quarantine, which by default would
# add to the resident memory that is compared below.
export ASAN_OPTIONS=quarantine_size_mb=1
vm_settings='[limits]
http_connections = 100
http_idle_s = 2'
fleet_start
base=$(url 0)
lookup_url="$base/v1/bench-assist/lookup"
order_url="$base/v1/desk-dispatch/order"
good='{"query":"blade"}'

# refusal TEXT CURL-ARGUMENTS: prints the HTTP status and that in the body.
refusal() {
	local text=$1 code
	shift
	code=$(curl -s -m 20 -o "$work/answer" -w '%{http_code}' "$@")
	fact "$text" "$code $(pick status <"$work/answer" 2>/dev/null ||
		echo untyped)"
	: >"$work/answer"
}

# send_raw TEXT BYTES: sends bytes and prints the first line of the answer.
send_raw() {
	local fd
	exec {fd}<>"/dev/tcp/127.0.0.1/${http_ports[0]}"
	printf "$2" >&$fd
	fact "$1" "$(timeout 20 head -n 1 <&$fd | tr -d '\r')"
	exec {fd}>&-
}

# send_slowly TEXT HEAD: sends a head and then a body bit by bit, and prints the first
# line of the answer. A client that fails to send does not look for an answer.
send_slowly() {
	local fd answer= i
	exec {fd}<>"/dev/tcp/127.0.0.1/${http_ports[0]}"
	printf "$2" >&$fd
	for i in 1 2 3; do
		sleep 0.2
		printf 'aaaaaaaa' >&$fd 2>/dev/null || answer="cannot send"
	done
	[ -n "$answer" ] || answer=$(timeout 20 head -n 1 <&$fd | tr -d '\r')
	fact "$1" "$answer"
	exec {fd}>&-
}

print_bytes() {
	head -c "$1" /dev/zero | tr '\0' a
}

send_malformed_requests() {
	print_bytes 70000 >"$work/70k"
	print_bytes 200000 >"$work/200k"
	print_bytes 8000 >"$work/8k"
	refusal "body over the limit" --data-binary @"$work/70k" "$lookup_url"
	refusal "body far over the limit" --data-binary @"$work/200k" \
		"$lookup_url"
	refusal "chunked body over the limit" \
		-H 'Transfer-Encoding: chunked' \
		--data-binary @"$work/70k" "$lookup_url"
	refusal "order body over the limit" -H "Idempotency-Key: $(new_key a)" \
		--data-binary @"$work/70k" "$order_url"
	refusal "empty body" -X POST "$lookup_url"
	refusal "body that is no JSON" -d 'blade' "$lookup_url"
	refusal "JSON that is cut off" -d '{"query":"bla' "$lookup_url"
	refusal "JSON with bytes after it" -d "$good}" "$lookup_url"
	refusal "JSON that is not UTF-8" --data-binary $'{"query":"\xff\xfe"}' \
		"$lookup_url"
	refusal "JSON with 8,000 open brackets" \
		-d "$(tr a '[' <"$work/8k")" "$lookup_url"
	refusal "unknown service" -d "$good" "$base/v1/no-such/lookup"
	refusal "unknown path" -d "$good" "$base/v2/bench-assist/lookup"
	refusal "unknown verb of a service" -d "$good" \
		"$base/v1/bench-assist/destroy"
	refusal "service without a verb" -d "$good" "$base/v1/bench-assist"
	refusal "path of 8,000 bytes" -d "$good" \
		"$base/v1/$(cat "$work/8k")/lookup"
	refusal "unknown method" -X DELETE "$lookup_url"
	refusal "GET of a lookup" "$lookup_url"
	for value in 0 -1 60001 99999999999999999999 1e3 soon 0x10; do
		refusal "deadline $value" -H "Deadline-Ms: $value" -d "$good" \
			"$lookup_url"
	done
	for value in -0.1 1.1 nan inf all; do
		refusal "coverage $value" -H "Min-Coverage: $value" \
			-d "$good" "$lookup_url"
	done
	refusal "request identity of 65 bytes" \
		-H "Request-Id: $(print_bytes 65)" -d "$good" "$lookup_url"
	refusal "request identity with a tab" -H $'Request-Id: a\tb' \
		-d "$good" "$lookup_url"
	refusal "request identity with an escape" -H $'Request-Id: a\x1b[2Jb' \
		-d "$good" "$lookup_url"
	refusal "request identity that is not ASCII" \
		-H $'Request-Id: a\xc3\xa9' -d "$good" "$lookup_url"
	refusal "order without a key" -d "$good" "$order_url"
	refusal "order key without a time" -H 'Idempotency-Key: abc' \
		-d "$good" "$order_url"
	refusal "order key of 129 bytes" \
		-H "Idempotency-Key: $(date +%s%3N)-$(print_bytes 115)" \
		-d "$good" "$order_url"
	refusal "order key with a tab" -H $'Idempotency-Key: 1\t2' \
		-d "$good" "$order_url"
	refusal "order key of an hour ago" \
		-H "Idempotency-Key: $((($(date +%s) - 3600) * 1000))-a" \
		-d "$good" "$order_url"
	refusal "order key of the future" \
		-H "Idempotency-Key: $((($(date +%s) + 3600) * 1000))-a" \
		-d "$good" "$order_url"
	refusal "plan that is no JSON" -d 'plan' "$base/v1/admin/plan"
	refusal "plan of an unknown intent" -d '{"intent":"explode"}' \
		"$base/v1/admin/plan"
	refusal "confirmation that is no JSON" -d 'yes' \
		"$base/v1/admin/confirm"
	refusal "plan over the limit" --data-binary @"$work/200k" \
		"$base/v1/admin/plan"
	send_raw "request line that is none" 'HELLO\r\n\r\n'
	send_raw "header without a colon" 'GET /live HTTP/1.1\r\nabc\r\n\r\n'
	send_raw "length that is no number" \
		'POST /v1/bench-assist/lookup HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n'
	send_raw "NUL in a header" \
		'POST /v1/bench-assist/lookup HTTP/1.1\r\nHost: a\r\nRequest-Id: a\0b\r\nContent-Length: 2\r\n\r\n{}'
}

connections() {
	curl -s -m 5 "$base/metrics" | grep -v '^#' |
		awk '$1 ~ /connections/ { print $2 }'
}

descriptors() {
	set -- "/proc/${pids[vm1]}/fd/"*
	echo $#
}

resident_kb() {
	awk '$1 == "VmRSS:" { print $2 }' "/proc/${pids[vm1]}/status"
}

# open_many N BYTES: opens N connections and sends the bytes on each. The daemon may
# have closed some of them by then, which must not end this script.
trap '' PIPE
held=()
open_many() {
	local fd i
	for ((i = 0; i < $1; i++)); do
		exec {fd}<>"/dev/tcp/127.0.0.1/${http_ports[0]}" || break
		held+=("$fd")
		printf "$2" >&$fd 2>/dev/null
	done
}

close_many() {
	local fd
	for fd in "${held[@]}"; do
		exec {fd}>&-
	done
	held=()
}

serves() {
	coverage_is_full 0 && order_runs 0
}

# Allocates the memory and descriptors that stay in use, before the first
# measurement.
send_malformed_requests >/dev/null
open_many 90 'GET /live HTT'
close_many
until_true 10 serves
sleep 3
descriptors_before=$(descriptors)
resident_before=$(resident_kb)

send_malformed_requests
holds "the daemon serves after malformed requests" until_true 10 serves
send_slowly "body far over the limit, sent slowly" \
	'POST /v1/bench-assist/lookup HTTP/1.1\r\nHost: a\r\nContent-Length: 200000\r\n\r\n'

# Bodies that end early: the caller closes the connection.
for i in 1 2 3 4 5 6 7 8; do
	open_many 1 'POST /v1/bench-assist/lookup HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\n{"query":'
	close_many
done
holds "it serves after bodies that end early" until_true 10 serves

# Headers that never end: the daemon must close these connections.
open_many 50 'POST /v1/bench-assist/lookup HTTP/1.1\r\nHost: a\r\nX: '
holds "it serves while 50 connections hold half a header" until_true 10 serves
descriptors_released() {
	[ "$(descriptors)" -le $((descriptors_before + 10)) ]
}
holds "it closes them by itself" until_true 20 descriptors_released
close_many

# More idle connections than the limit: those over it are closed at once.
open_many 300 ''
at_most "descriptors with 300 idle connections" \
	$((descriptors_before + 110)) "$(descriptors)" |
	sed 's/at most.*/within the limit/'
holds "idle connections are closed" until_true 20 descriptors_released
close_many
holds "it serves after idle connections" until_true 10 serves

for i in 1 2 3; do
	send_malformed_requests >/dev/null
	open_many 90 'GET /live HTT'
	close_many
done
holds "descriptors are back at the level before" \
	until_true 20 descriptors_released
at_most "growth of the resident memory in KiB" 8192 \
	$(($(resident_kb) - resident_before))
end_test
