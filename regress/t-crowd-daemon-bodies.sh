#!/bin/sh
# rosemaryd: many bodies of legal size at once, most of which stop short of their
# end.
. ./regress/crowd-daemon.sh

run () {
	start_small_daemon 20
	crowd "$(http_of 0)" --clients=300 --path=/v1/jobs \
		--id-header=Idempotency-Key --body=$max_body --finish=8
}

check run
