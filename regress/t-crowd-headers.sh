#!/bin/sh
# Many long headers that stop short of their end.
. ./regress/crowd-pool.sh

run () {
	start_small_pool
	crowd "$(http_of 0)" --clients=1200 --header=15000
}

check run
