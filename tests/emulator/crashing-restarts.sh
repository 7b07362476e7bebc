at 6500
for i in 1 2 3 4; do
	signal_vm "$dir" "$i" TERM
	wait_stopped "$dir" "$i"
	start_vm "$dir" "$net" "$i"
	sleep 0.8
done
