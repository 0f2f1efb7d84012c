#!/bin/sh
# Many bodies that grow far over the limit without being announced.
. ./regress/crowd-pool.sh

run () {
	start_small_pool
	crowd "$(http_of 0)" --clients=300 --text="$job" \
		--body=4000000 --chunk=16384 --finish=8
}

check run
