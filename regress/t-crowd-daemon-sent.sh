#!/bin/sh
# rosemaryd: many bodies that grow far over the limit without being announced.
. ./regress/crowd-daemon.sh

run () {
	start_small_daemon 20
	crowd "$(http_of 0)" --clients=300 --path=/v1/jobs \
		--id-header=Idempotency-Key --body=4000000 --chunk=16384
}

check run
