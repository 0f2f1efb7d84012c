#!/bin/sh
# VMs of unlike processors: a small one leaves the lead to a larger one, which
# has another large one make its calls to targets; that agent is paused and
# killed, then the leader is.
. ./regress/pool.sh

jobs="--rate=20 --seconds=5 --tasks=2 --ms=150"
none="odd unanswered"

# metric VM NAME
metric () {
	call GET 127.0.0.1:$((port + 140 + $1)) /metrics |
		sed -n "s/^rosemary_pool_$2 //p"
}

run () {
	start_platform 8
	vms=0
	start_vm 0 --processor=0.002
	await_ready 0
	echo "leads at first: vm$(leader 0)"
	start_vm 1 --processor=0.01
	start_vm 2 --processor=0.01
	await_ready 1
	await_ready 2
	sleep 2
	vms="0 1 2"
	l=$(leader $vms)
	test "$l" != 0 && echo "a larger one leads"
	a=$((3 - l))

	load $jobs --seed=21
	served calm 98 $none
	test "$(metric "$l" agent_calls_total)" -ge 200 &&
		echo "the leader has its calls made"
	test "$(metric "$a" target_calls_total)" -ge 200 &&
		echo "the other large one makes them"
	test "$(metric 0 target_calls_total)" -lt 50 &&
		echo "the small one does not"

	load $jobs --seed=22
	kill -STOP "$(pid_of "$a")"
	sleep 1.5
	kill -CONT "$(pid_of "$a")"
	served "agent paused and woken" 70 $none

	load $jobs --seed=23
	kill -KILL "$(pid_of "$a")"
	sleep 1
	start_vm "$a" --processor=0.01
	served "agent killed" 80 $none
	await_ready "$a"

	load $jobs --seed=24
	kill -KILL "$(pid_of "$l")"
	sleep 1
	start_vm "$l" --processor=0.01
	served "leader killed" 70 $none
	await_ready "$l"
}

check run
