restart_vm() {
	signal_vm "$dir" "$1" KILL
	wait_stopped "$dir" "$1"
	start_vm "$dir" "$net" "$1"
}

at 2500
restart_vm 1
at 3500
restart_vm 2
at 4200
restart_vm 3
at 4700
restart_vm 4
at 10800
restart_vm 1
at 11900
restart_vm 2
at 12600
restart_vm 3
at 12900
restart_vm 4
