#!/bin/sh
# rosemaryd: many connections without a request.
. ./regress/crowd-daemon.sh

run () {
	start_small_daemon 20
	crowd "$(http_of 0)" --clients=1200 --idle
}

check run
