at 4200
PATH=$PWD/$build:$PATH
id=$(sed -n 's/.* forward_end .* request=\([0-9a-f]*\) .*/\1/p' "$dir/vm1.log" |
	head -n 1)
sed -n '1,/^# Role entry/p' docs/OPERATIONS.md |
	grep -o -e '^    gentianctl .*' -e '`gentianctl [^`]*`' |
	sed 's/^ *//; s/`//g; s/ \.\.\.$//; s/,\.\.\.//' | awk '!seen[$0]++' |
	while read -r line; do
		line=${line//FILE.ini/$dir/vm1.ini}
		line=${line//ADDRESS/127.0.$net.1:8106}
		line=${line//=ID/=$id}
		line=${line//shop.example \/list/emu.example \/one}
		line=${line//i-bab6763608/single-0}
		line=${line//vm1.log/$dir/vm1.log}
		line=${line//vm2.log/$dir/vm2.log}
		# shellcheck disable=SC2086
		timeout 10 $line >"$dir/command.out" 2>&1 </dev/null
		echo "# ${line%% -*}: exit status $?, $(grep -c . "$dir/command.out" |
			sed 's/^[1-9].*/some lines/')"
	done | sed "s#$dir/##g"
