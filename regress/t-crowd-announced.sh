#!/bin/sh
# Many bodies that are announced far over the limit, and then sent.
. ./regress/crowd-pool.sh

run () {
	start_small_pool
	crowd "$(http_of 0)" --clients=300 --text="$job" \
		--body=10000000000 --send=4000000
}

check run
