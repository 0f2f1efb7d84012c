#!/bin/sh
# Targets that leave a third of their calls unanswered and carry them out two
# seconds later. The room of a start without an answer stayed taken, until few
# jobs were served. Jobs must be served meanwhile, and nothing starts twice.
. ./regress/pool.sh

run () {
	start_pool 3 8
	vms="0 1 2"

	load --rate=20 --seconds=7 --tasks=3 --ms=150 --seed=31
	for t in 0 1 2 3 4 5 6 7
	do
		control target "{\"target\":$t,\"losing\":33}"
	done
	sleep 5
	for t in 0 1 2 3 4 5 6 7
	do
		control target "{\"target\":$t,\"losing\":0}"
	done
	served "targets lose a third of the calls" 126 unexpected unanswered \
		no_retry_after
}

check run
