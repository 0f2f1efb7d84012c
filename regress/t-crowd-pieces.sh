#!/bin/sh
# Many bodies of legal size that come piece by piece, all at the same time, most
# of which stop short of their end.
. ./regress/crowd-pool.sh

run () {
	start_small_pool
	crowd "$(http_of 0)" --clients=300 --text="$job" --body=$max_body \
		--piece=1000 --finish=8
}

check run
