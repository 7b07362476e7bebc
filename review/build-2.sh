#!/bin/sh
# Builds the programs of the cases review/6 to review/10 into target/review-2.
# The build of the deploy file comes first: the cases start its daemon.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags="-std=gnu11 -D_GNU_SOURCE -O2 -Wall -Wextra -Ireview/stand-ins-2"
flags="$flags $(pkg-config --cflags jansson)"
libs="$(pkg-config --libs jansson) -lpthread"
for number in 6 7 8 9 10; do
	[ -f "review/$number/case.c" ] || continue
	# shellcheck disable=SC2086
	${CC:-cc} $flags -o "$out/case-$number" "review/$number/case.c" \
		review/stand-ins-2/rv.c $libs
done
