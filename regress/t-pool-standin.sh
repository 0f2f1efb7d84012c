#!/bin/sh
# Calls to a target of the stand-in that are carried out late, in another order.
# Guards against a stop of an earlier run that lets a later run begin again.
. ./regress/pool.sh

# target PATH BODY: makes a call to the target and prints the status.
target () {
	call --status POST 127.0.0.1:$((port + 1)) /api/"$1" "$2"
}

# start RUN, stop RUN: calls for a run of the task.
start () {
	echo "start $1: $(target run-start '{"task":"0a.0.0.0","run":'"$1"',
		"specification":"10","untilMs":99999999999999,
		"fencingToken":1}')"
}

stop () {
	echo "stop $1: $(target run-stop '{"task":"0a.0.0.0","run":'"$1"',
		"fencingToken":1}')"
}

run () {
	start_platform 1
	stop 1
	start 2
	sleep 0.3
	# Acknowledges the end of run 2.
	echo "hold: $(target hold '{"fencingToken":1,"lastSeen":9,
		"untilMs":99999999999999,"waitMs":0}')"
	stop 1
	start 2
	counts | pick violations
}

check run
