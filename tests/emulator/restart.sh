# Callers do not retry here, so what they ask of the dead VM is lost.
at 4500
signal_vm "$dir" 4 KILL
at 4700
start_vm "$dir" "$net" 4
