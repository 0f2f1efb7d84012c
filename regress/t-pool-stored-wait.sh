#!/bin/sh
# How long requests for stored jobs wait for the store. Guards against an answer
# that comes by a constant time, after the caller has gone or while it would
# have waited for the store's reply, and against a write that is repeated and
# takes effect twice.
. ./regress/pool.sh

# submit ID RUN_MS FLAG...: submits a stored job of one task to VM 0.
submit () {
	id=$1 ms=$2
	shift 2
	call --status "$@" POST "$(http_of 0)" /q/00000000000000"$id" \
		"{\"specification\":\"$ms\",\"steps\":[
		{\"count\":1,\"cpu\":6000,\"estimatedMs\":$ms}]}"
}

# state ID FLAG...: requests a job's state from VM 1, and prints the status.
state () {
	id=$1
	shift
	call --status "$@" GET "$(http_of 1)" /q/00000000000000"$id"
}

# cancel ID FLAG...: cancels a job at VM 1.
cancel () {
	id=$1
	shift
	call --status "$@" DELETE "$(http_of 1)" /q/00000000000000"$id"
}

# in_background FILE COMMAND: runs the command, with its output in a file.
in_background () {
	file=$dir/$1
	shift
	"$@" >"$file" &
	waiting="$waiting $!"
}

# await_running N: waits until N tasks run, and prints their number.
await_running () {
	tries=0
	running=$(counts | pick running)
	while test "$running" != "$1" && test $tries -lt 60
	do
		tries=$((tries + 1))
		sleep 0.05
		running=$(counts | pick running)
	done
	echo "running: $running"
}

run () {
	start_pool 2 8
	for id in 01 02 03 04
	do
		submit $id 90000 >"$dir"/long
	done
	await_running 4

	control store '{"silent":1}'
	waiting=
	in_background longer-state timed "state, 9 s stated" 2500 7000 \
		state 01 --deadline=9000
	in_background longer-cancel timed "cancel, 9 s stated" 2500 7000 \
		cancel 02 --deadline=9000
	in_background longer-submit timed "submit, 9 s stated" 2500 7000 \
		submit 10 90000 --deadline=9000
	in_background none timed "state, none stated" 2500 7000 state 04
	in_background shorter-state timed "state, 0.7 s stated" 650 1200 \
		state 01 --deadline=700
	in_background shorter-cancel timed "cancel, 0.7 s stated" 650 1200 \
		cancel 04 --deadline=700
	in_background shorter-submit timed "submit, 0.7 s stated" 650 1200 \
		submit 11 50 --deadline=700
	sleep 3
	control store '{"silent":0}'
	for p in $waiting
	do
		wait "$p"
	done
	echo "the store does not answer for 3 s"
	cat "$dir"/shorter-state "$dir"/shorter-cancel "$dir"/shorter-submit
	cat "$dir"/longer-state "$dir"/longer-cancel "$dir"/longer-submit
	cat "$dir"/none

	echo "the store loses all answers to writes"
	control store '{"lose_answers":100}'
	timed "submit, 6 s stated" 0 3000 submit 12 50 --deadline=6000
	timed "cancel, 6 s stated" 0 3000 cancel 03 --deadline=6000
	control store '{"lose_answers":0}'

	timed "submit, 0 s stated" 0 300 submit 13 50 --deadline=0
	timed "state, 0 s stated" 0 300 state 01 --deadline=0
	timed "cancel, 0 s stated" 0 300 cancel 01 --deadline=0
	sleep 1.5
	echo "rejected job: $(state 13)"
	# 01, 04 and 10: the read of 04 failed after its caller had left.
	await_running 3
	expect_no_violation
}

check run
