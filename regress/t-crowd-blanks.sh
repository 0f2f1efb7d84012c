#!/bin/sh
# Whole bodies of legal size, most of it white space, of jobs that take long.
. ./regress/crowd-pool.sh
answers=any_answer

run () {
	start_small_pool
	crowd "$(http_of 0)" --clients=300 --text="$long_job" --body=$max_body \
		--finish=1
}

check run
