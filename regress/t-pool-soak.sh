#!/bin/sh
# A short soak test with two seeds that have failed in the past, for the causes
# given in regress/soak/seeds, one with half of the targets evacuated, and one
# with stored jobs that are written late and cancelled.
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
	mkdir "$dir"/5
	"$bin"/regress/soak/soak --seed=5 --evacuate --bin="$bin" \
		--seconds=6 --dir="$dir"/5 --port=$port \
		>"$dir"/soak-5.log || grep VIOLATION "$dir"/soak-5.log
	tail -1 "$dir"/soak-5.log
	mkdir "$dir"/2023
	"$bin"/regress/soak/soak --seed=2023 --stored --cancel=30 --bin="$bin" \
		--seconds=8 --dir="$dir"/2023 --port=$port \
		>"$dir"/soak-2023.log || grep VIOLATION "$dir"/soak-2023.log
	tail -1 "$dir"/soak-2023.log
}

check run
