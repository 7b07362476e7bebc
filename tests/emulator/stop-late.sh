# Sends the beginning of a request before the VM stops listening, the rest 0.3 s before
# it gives up what still runs, and prints the status of the answer.
at 2000
signal_vm "$dir" 1 TERM
at 4300
exec 3<>"/dev/tcp/127.0.$net.1/8104"
printf 'POST /once/x HTTP/1.1\r\nHost: emu.example\r\n' >&3
at 6900
printf 'X-Request-Id: 00000000000ffff0\r\nX-Deadline-Milliseconds: 800\r\n' >&3
printf 'Content-Length: 4\r\n\r\nbody' >&3
read -r -t 2 _ status _ <&3
echo "status of the late request: ${status:-none}"
