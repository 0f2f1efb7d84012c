#!/bin/sh
# A short soak with fixed seeds that failed once, for different causes.
. ./regress/pool.sh

run () {
	for seed in 4 13
	do
		mkdir "$dir"/$seed
		"$bin"/regress/soak/soak --seed=$seed --bin="$bin" \
			--seconds=6 --dir="$dir"/$seed --port=$port \
			>"$dir"/soak-$seed.log ||
			grep WRONG "$dir"/soak-$seed.log
		tail -1 "$dir"/soak-$seed.log
	done
}

check run
