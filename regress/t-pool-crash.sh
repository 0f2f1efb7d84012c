#!/bin/sh
# Tasks that crash the targets that start them, beside sound jobs. Such a job is
# given up, also when the leader is killed between two crashes or all entry VMs
# are, and when its caller submits it again. Then the capacity of targets
# shrinks under their runs, and grows again.
. ./regress/pool.sh

# submit_crash ID: submits a stored job of one task that crashes its targets.
submit_crash () {
	call --status POST "$(http_of 0)" "/q/$1" \
		'{"specification":"crash","steps":[{"count":1,"cpu":6000,"estimatedMs":50}]}'
}

state () {
	call GET "$(http_of "$1")" "/q/$2" | pick state
}

# await_failed VM ID...: waits until the jobs are shown as failed by the VM.
await_failed () {
	v=$1
	shift
	for id in "$@"
	do
		tries=0
		while test "$(state "$v" "$id")" != failed && test $tries -lt 150
		do
			tries=$((tries + 1))
			sleep 0.1
		done
		echo "$id: $(state "$v" "$id")"
	done
}

jobs="--rate=15 --tasks=2 --ms=150 --verify=127.0.0.1:$port"
zero_counts="unexpected unanswered rejected_but_ran completed_but_not_done \
	failed"

run () {
	start_pool 3 12
	vms="0 1 2"

	load $jobs --stored --seconds=8 --seed=41
	submit_crash 000000000000c001
	submit_crash 000000000000c002
	await_failed 1 000000000000c001 000000000000c002
	served "two tasks crash their targets" 110 $zero_counts
	at_most crashes 6 "$(counts)"

	crashes=$(counts | pick crashes)
	submit_crash 000000000000c001
	sleep 1
	echo "submitted again: $(state 2 000000000000c001)"
	at_most crashes "$crashes" "$(counts)"

	load $jobs --stored --seconds=8 --seed=42
	submit_crash 000000000000c003
	sleep 1.4
	l=$(leader $vms)
	kill -KILL "$(pid_of "$l")"
	sleep 0.5
	start_vm "$l"
	await_ready "$l"
	await_failed "$l" 000000000000c003
	served "leader killed between two crashes" 110 $zero_counts
	at_most crashes $((crashes + 4)) "$(counts)"

	crashes=$(counts | pick crashes)
	submit_crash 000000000000c004
	sleep 1.4
	for v in $vms
	do
		kill -KILL "$(pid_of "$v")"
	done
	sleep 0.5
	for v in $vms
	do
		start_vm "$v"
	done
	for v in $vms
	do
		await_ready "$v"
	done
	await_failed 0 000000000000c004
	at_most crashes $((crashes + 4)) "$(counts)"

	load $jobs --seconds=6 --seed=43
	for t in 0 1 2 3 4 5 6 7
	do
		control target "{\"target\":$t,\"cpu\":7000}"
	done
	sleep 2
	for t in 0 1 2 3 4 5 6 7
	do
		control target "{\"target\":$t,\"cpu\":16000}"
	done
	served "capacity shrinks and grows" 80 unexpected unanswered \
		rejected_but_ran completed_but_not_done
}

check run
