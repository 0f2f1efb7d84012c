#!/bin/sh
# Jobs that the store keeps: accepted once, found again by any entry VM, over
# steps, cancelled, through the loss of the leader and of all entry VMs, and
# with a store that loses answers.
. ./regress/pool.sh

# stored ID STEPS: submits to VM 0.
stored () {
	call --status POST "$(http_of 0)" "/q/$1" \
		"{\"specification\":\"$3\",\"steps\":[$2]}"
}

# state VM ID
state () {
	call GET "$(http_of "$1")" "/q/$2" | pick state
}

# await_state VM ID STATE
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

# await_running N: a task that is moved is between two targets for a moment.
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

jobs="--stored --rate=20 --seconds=4 --tasks=2 --ms=150 --verify=127.0.0.1:$port"
none="odd unanswered rejected_ran completed_untrue failed"

run () {
	start_pool 3 8
	vms="0 1 2"

	echo "accepted: $(stored 0000000000000001 \
		'{"count":3,"cpu":6000,"estimatedMs":50},
		{"count":2,"cpu":6000,"estimatedMs":50,"after":[0]}' 50)"
	await_state 1 0000000000000001 completed
	starts=$(counts | pick starts)
	echo "again: $(stored 0000000000000001 \
		'{"count":3,"cpu":6000,"estimatedMs":50},
		{"count":2,"cpu":6000,"estimatedMs":50,"after":[0]}' 50)"
	sleep 0.5
	test "$(counts | pick starts)" = "$starts" && echo "nothing started again"
	echo "unknown: $(call --status GET "$(http_of 2)" /q/0000000000000002)," \
		"$(call --status DELETE "$(http_of 2)" /q/0000000000000002)"

	stored 0000000000000003 '{"count":2,"cpu":6000,"estimatedMs":9000}' \
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
	served "leader killed" 60 $none
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
	served "all entry VMs killed" 60 $none
	for v in $vms
	do
		await_ready "$v"
	done

	load $jobs --seed=33
	control store '{"lose":30}'
	sleep 2
	control store '{"lose":0}'
	control store '{"forget":1}'
	served "store loses answers and forgets" 60 $none
}

check run
