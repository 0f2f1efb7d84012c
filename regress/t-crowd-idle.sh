#!/bin/sh
# Many connections without a request.
. ./regress/crowd-pool.sh

run () {
	start_small_pool
	crowd "$(http_of 0)" --clients=1200 --idle
}

check run
