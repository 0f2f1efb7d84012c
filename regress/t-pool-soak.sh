#!/bin/sh
# A short soak test with two seeds that have failed in the past, for the causes
# given in regress/soak/seeds.
. ./regress/pool.sh

run () {
	for seed in 4 13
	do
		mkdir "$dir"/$seed
		"$bin"/regress/soak/soak --seed=$seed --bin="$bin" \
			--seconds=6 --dir="$dir"/$seed --port=$port \
			>"$dir"/soak-$seed.log ||
			grep VIOLATION "$dir"/soak-$seed.log
		tail -1 "$dir"/soak-$seed.log
	done
}

check run
