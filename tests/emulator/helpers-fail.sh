at 6500
signal_vm "$dir" 5 KILL
at 8500
start_vm "$dir" "$net" 5
at 11500
signal_vm "$dir" 6 STOP
at 13000
signal_vm "$dir" 6 CONT
at 14500
signal_vm "$dir" 5 TERM
