at 6700
for i in 1 2 3 4; do
	signal_vm "$dir" "$i" KILL
done
at 7500
for i in 1 2 3 4; do
	wait_stopped "$dir" "$i"
	start_vm "$dir" "$net" "$i"
done
