#!/bin/sh
# Many bodies of legal size in large chunks, most of which stop short of their
# end.
. ./regress/crowd-pool.sh

run () {
	start_small_pool
	crowd "$(http_of 0)" --clients=300 --text="$job" --body=$max_body \
		--chunk=16384 --finish=8
}

check run
