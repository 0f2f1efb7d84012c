#!/bin/sh
# Whole bodies of legal size that are one array of numbers.
. ./regress/crowd-pool.sh

run () {
	start_small_pool
	crowd "$(http_of 0)" --clients=300 --array --body=$((max_body - 1)) \
		--finish=1
}

check run
