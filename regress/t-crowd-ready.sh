#!/bin/sh
# Many connections to the server for readiness checks, and bodies to it.
. ./regress/crowd-pool.sh

run () {
	start_small_pool
	crowd 127.0.0.1:$((port + 120)) --clients=1200 --body=$max_body
}

check run
