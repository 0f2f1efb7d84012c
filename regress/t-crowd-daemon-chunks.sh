#!/bin/sh
# rosemaryd: many bodies of legal size in chunks of a few bytes, most of which stop
# short of their end.
. ./regress/crowd-daemon.sh

run () {
	start_small_daemon 20
	crowd "$(http_of 0)" --clients=300 --path=/v1/jobs \
		--id-header=Idempotency-Key --body=$max_body --chunk=8 \
		--finish=8
}

check run
