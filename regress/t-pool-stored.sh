#!/bin/sh
# Stored jobs: a job with two steps, a resubmission, requests for a job's state
# at other entry VMs, and cancellation. Then the leader and all entry VMs are
# killed, and the store loses answers and compacts its history.
. ./regress/pool.sh

# submit_stored ID STEPS SPECIFICATION: submits a stored job to VM 0.
submit_stored () {
	call --status POST "$(http_of 0)" "/q/$1" \
		"{\"specification\":\"$3\",\"steps\":[$2]}"
}

# state VM ID: prints the state of a job.
state () {
	call GET "$(http_of "$1")" "/q/$2" | pick state
}

# await_state VM ID STATE: waits until the job has the state, and prints it.
await_state () {
	tries=0
	while test "$(state "$1" "$2")" != "$3"
	do
		tries=$((tries + 1))
		test $tries -lt 60 || { echo "$2: $(state "$1" "$2")"; return; }
		sleep 0.1
	done
	echo "$2: $3"
}

# await_running N: waits until N tasks run, and prints their number. A task that
# is moved to another target does not run for a moment.
await_running () {
	tries=0
	running=$(counts | pick running)
	while test "$running" != "$1" && test $tries -lt 40
	do
		tries=$((tries + 1))
		sleep 0.05
		running=$(counts | pick running)
	done
	echo "running: $running"
}

jobs="--stored --rate=20 --seconds=4 --tasks=2 --ms=150 \
	--verify=127.0.0.1:$port"
zero_counts="unexpected unanswered rejected_but_ran completed_but_not_done \
	failed"

run () {
	start_pool 3 8
	vms="0 1 2"

	echo "accepted: $(submit_stored 0000000000000001 \
		'{"count":3,"cpu":6000,"estimatedMs":50},
		{"count":2,"cpu":6000,"estimatedMs":50,"after":[0]}' 50)"
	await_state 1 0000000000000001 completed
	starts=$(counts | pick starts)
	echo "resubmitted: $(submit_stored 0000000000000001 \
		'{"count":3,"cpu":6000,"estimatedMs":50},
		{"count":2,"cpu":6000,"estimatedMs":50,"after":[0]}' 50)"
	sleep 0.5
	test "$(counts | pick starts)" = "$starts" && echo "nothing started again"
	echo "unknown: $(call --status GET "$(http_of 2)" /q/0000000000000002)," \
		"$(call --status DELETE "$(http_of 2)" /q/0000000000000002)"

	submit_stored 0000000000000003 '{"count":2,"cpu":6000,"estimatedMs":9000}' \
		9000 >/dev/null
	await_running 2
	echo "cancelled: $(call --status DELETE "$(http_of 1)" \
		/q/0000000000000003)"
	await_state 2 0000000000000003 cancelled
	sleep 1
	echo "running: $(counts | pick running)"

	load $jobs --seed=31
	l=$(leader $vms)
	kill -KILL "$(pid_of "$l")"
	sleep 1
	start_vm "$l"
	served "leader killed" 60 $zero_counts
	await_ready "$l"

	load $jobs --seed=32
	for v in $vms
	do
		kill -KILL "$(pid_of "$v")"
	done
	sleep 0.5
	for v in $vms
	do
		start_vm "$v"
	done
	served "all entry VMs killed" 60 $zero_counts
	for v in $vms
	do
		await_ready "$v"
	done

	load $jobs --seed=33
	control store '{"lose_answers":30}'
	sleep 2
	control store '{"lose_answers":0}'
	control store '{"compact":1}'
	served "store loses answers and compacts" 60 $zero_counts
}

check run
