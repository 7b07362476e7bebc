# The emulator's callers do not retry, so requests to a dead VM are lost.
for i in 1 2 3 4; do
	at $((3500 + i * 2000))
	signal_vm "$dir" "$i" KILL
	at $((3700 + i * 2000))
	start_vm "$dir" "$net" "$i"
done
