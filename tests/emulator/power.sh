at 2800
for i in 1 2 3 4; do
	signal_vm "$dir" $i KILL
done
at 3800
for i in 1 2 3 4; do
	start_vm "$dir" "$net" $i
done
