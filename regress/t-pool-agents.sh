#!/bin/sh
# A pool whose entry VMs have different processor shares. A VM with a small
# share hands leadership to one with a larger share, which delegates its calls
# to targets to an agent, the other VM with a large share. The agent is paused
# and killed, then the leader is killed.
. ./regress/pool.sh

jobs="--rate=20 --seconds=5 --tasks=2 --ms=150"
zero_counts="unexpected unanswered"

# metric VM NAME: prints a metric of the VM.
metric () {
	call GET 127.0.0.1:$((port + 140 + $1)) /metrics |
		sed -n "s/^rosemary_pool_$2 //p"
}

run () {
	start_platform 8
	vms=0
	start_vm 0 --processor=0.002
	await_ready 0
	echo "first leader: vm$(leader 0)"
	start_vm 1 --processor=0.01
	start_vm 2 --processor=0.01
	await_ready 1
	await_ready 2
	sleep 2
	vms="0 1 2"
	l=$(leader $vms)
	test "$l" != 0 && echo "a VM with a larger share leads"
	a=$((3 - l))

	load $jobs --seed=21
	served "no faults" 98 $zero_counts
	test "$(metric "$l" agent_calls_total)" -ge 200 &&
		echo "the leader delegates calls"
	test "$(metric "$a" target_calls_total)" -ge 200 &&
		echo "the other VM with a large share makes calls"
	test "$(metric 0 target_calls_total)" -lt 50 &&
		echo "the VM with a small share makes few"

	load $jobs --seed=22
	kill -STOP "$(pid_of "$a")"
	sleep 1.5
	kill -CONT "$(pid_of "$a")"
	served "agent paused and resumed" 70 $zero_counts

	load $jobs --seed=23
	kill -KILL "$(pid_of "$a")"
	sleep 1
	start_vm "$a" --processor=0.01
	served "agent killed" 80 $zero_counts
	await_ready "$a"

	load $jobs --seed=24
	kill -KILL "$(pid_of "$l")"
	sleep 1
	start_vm "$l" --processor=0.01
	served "leader killed" 70 $zero_counts
	await_ready "$l"
}

check run
