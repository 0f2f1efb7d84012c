#!/bin/sh
# A pool under faults. The leader is killed, paused until its leases expire,
# and stopped as planned. The store loses answers, compacts its history, answers
# with errors and does not answer. Targets fail tasks, make no progress, do not
# answer and restart. All entry VMs are killed. After each fault the stand-in
# must have seen no violation.
. ./regress/pool.sh

jobs="--rate=30 --seconds=6 --tasks=2 --ms=150"
zero_counts="unexpected unanswered no_retry_after"

run () {
	start_pool 3 8
	vms="0 1 2"

	load $jobs --seed=11
	l=$(leader $vms)
	kill -KILL "$(pid_of "$l")"
	sleep 2
	start_vm "$l"
	served "leader killed" 140 $zero_counts
	await_ready "$l"

	load $jobs --seed=12
	l=$(leader $vms)
	kill -STOP "$(pid_of "$l")"
	sleep 2.5
	kill -CONT "$(pid_of "$l")"
	served "leader paused and resumed" 120 $zero_counts

	load $jobs --seed=13
	l=$(leader $vms)
	kill -TERM "$(pid_of "$l")"
	wait "$(pid_of "$l")" && echo "planned stop: exit 0"
	start_vm "$l"
	served "leader stopped as planned" 160 $zero_counts
	await_ready "$l"

	load $jobs --seed=14
	control store '{"lose_answers":40}'
	kill -KILL "$(pid_of "$(leader $vms)")"
	sleep 2
	control store '{"lose_answers":0}'
	control store '{"compact":1}'
	served "store loses answers and compacts" 100 $zero_counts
	for v in $vms
	do
		kill -0 "$(pid_of $v)" 2>/dev/null || start_vm $v
		await_ready $v
	done

	load $jobs --seed=15
	control store '{"down":1}'
	sleep 2
	control store '{"down":0}'
	control store '{"silent":1}'
	sleep 1.5
	control store '{"silent":0}'
	served "store down, then silent" 170 $zero_counts

	load $jobs --seed=16
	control target '{"target":0,"failing":100}'
	control target '{"target":1,"stuck":1}'
	control target '{"target":2,"silent":1}'
	control target '{"target":3,"restart":1}'
	sleep 3
	control target '{"target":0,"failing":0}'
	control target '{"target":1,"stuck":0}'
	control target '{"target":2,"silent":0}'
	served "targets fail tasks, hang, are silent, restart" 120 $zero_counts

	load $jobs --seed=17
	for v in $vms
	do
		kill -KILL "$(pid_of $v)"
	done
	sleep 0.5
	for v in $vms
	do
		start_vm $v
	done
	served "all entry VMs killed" 90 $zero_counts
}

check run
