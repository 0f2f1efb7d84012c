#!/bin/sh
# Runs the soak test with many seeds, several at the same time.
#
#   run.sh seeds     the seeds in regress/soak/seeds
#   run.sh FROM TO   the seeds from FROM to TO
#
# Environment: BIN, directory of the programs; SECONDS_OF_FAULTS, duration of
# the faults of one run; JOBS, runs at the same time; STORED=1, stored jobs;
# CANCEL, percent of the jobs that callers cancel;
# EVACUATE=1, half of the targets evacuated;
# VMS and TARGETS, their numbers, which the seed chooses if they are not set.
# Prints a line for each seed that failed, and the counts at the end. The logs
# of failed seeds stay in build/out/soak/SEED.
set -u
cd "$(dirname "$0")/../.."
bin=${BIN:-build/san}
seconds=${SECONDS_OF_FAULTS:-8}
jobs=${JOBS:-3}
out=build/out/soak
mkdir -p "$out"

list_seeds () {
	if test "$1" = seeds
	then
		sed -n 's/^\([0-9][0-9]*\)	.*/\1/p' regress/soak/seeds
	else
		seq "$1" "$2"
	fi
}

# run_seeds LANE SEED...: runs the seeds in turn, on ports of this lane alone.
run_seeds () {
	port=$((11000 + $1 * 700))
	shift
	for seed in "$@"
	do
		dir=$out/$seed
		rm -rf "$dir"
		mkdir -p "$dir"
		if "$bin"/regress/soak/soak --seed="$seed" --bin="$bin" \
			--seconds="$seconds" --dir="$dir" --port=$port \
			${STORED:+--stored} ${CANCEL:+--cancel="$CANCEL"} ${EVACUATE:+--evacuate} ${VMS:+--vms="$VMS"} \
			${TARGETS:+--targets="$TARGETS"} \
			>"$dir"/out 2>&1
		then
			rm -rf "$dir"
			echo passed >>"$out"/results
		else
			echo failed >>"$out"/results
			echo "seed $seed: $(grep VIOLATION "$dir"/out | head -3)"
		fi
	done
}

rm -f "$out"/results
lane=0
while test $lane -lt "$jobs"
do
	run_seeds $lane $(list_seeds "$@" | awk "NR % $jobs == $lane") &
	lane=$((lane + 1))
done
wait
echo "$(grep -c passed "$out"/results) passed," \
	"$(grep -c failed "$out"/results) failed"
! grep -q failed "$out"/results
