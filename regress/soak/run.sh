#!/bin/sh
# Plays seeds of the soak, some at a time: run.sh seeds, or run.sh FROM TO;
# with STORED=1 of jobs that the store keeps.
# Prints a line for each that was broken, and the count at the end; the logs
# of these stay in build/out/soak/SEED.
set -u
cd "$(dirname "$0")/../.."
bin=${BIN:-build/san}
seconds=${SECONDS_OF_FAULTS:-8}
jobs=${JOBS:-3}
out=build/out/soak
mkdir -p "$out"

seeds () {
	if test "$1" = seeds
	then
		sed -n 's/^\([0-9][0-9]*\)	.*/\1/p' regress/soak/seeds
	else
		seq "$1" "$2"
	fi
}

# play LANE SEED...: one after the other, on ports of the lane's own.
play () {
	port=$((11000 + $1 * 500))
	shift
	for seed in "$@"
	do
		dir=$out/$seed
		rm -rf "$dir"
		mkdir -p "$dir"
		if "$bin"/regress/soak/soak --seed="$seed" --bin="$bin" \
			--seconds="$seconds" --dir="$dir" --port=$port \
			${STORED:+--stored} \
			>"$dir"/out 2>&1
		then
			rm -rf "$dir"
			echo kept >>"$out"/verdicts
		else
			echo broken >>"$out"/verdicts
			echo "seed $seed: $(grep WRONG "$dir"/out | head -3)"
		fi
	done
}

rm -f "$out"/verdicts
lane=0
while test $lane -lt "$jobs"
do
	play $lane $(seeds "$@" | awk "NR % $jobs == $lane") &
	lane=$((lane + 1))
done
wait
echo "$(grep -c kept "$out"/verdicts) kept," \
	"$(grep -c broken "$out"/verdicts) broken"
! grep -q broken "$out"/verdicts
