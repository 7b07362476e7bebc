at 4000
for i in 1 2 3 4; do
	signal_vm "$dir" "$i" KILL
done
at 4500
for i in 1 2 3 4; do
	wait_stopped "$dir" "$i"
	start_vm "$dir" "$net" "$i"
done
