#!/bin/sh
# A pool under faults: its leader is killed, paused past its leases, stopped
# as planned; the store loses answers, forgets its history, is down; targets
# fail, stand still, go dark, come back as another incarnation; all entry VMs
# are killed. What must hold is checked at the targets all along.
. ./regress/pool.sh

jobs="--rate=30 --seconds=6 --tasks=2 --ms=150"
none="odd unanswered no_retry_after"

run () {
	start_pool 3 8
	vms="0 1 2"

	load $jobs --seed=11
	l=$(leader $vms)
	kill -KILL "$(pid_of "$l")"
	sleep 2
	start_vm "$l"
	served "leader killed" 140 $none
	await_ready "$l"

	load $jobs --seed=12
	l=$(leader $vms)
	kill -STOP "$(pid_of "$l")"
	sleep 2.5
	kill -CONT "$(pid_of "$l")"
	served "leader paused and woken" 120 $none

	load $jobs --seed=13
	l=$(leader $vms)
	kill -TERM "$(pid_of "$l")"
	wait "$(pid_of "$l")" && echo "planned stop: exit 0"
	start_vm "$l"
	served "leader stopped as planned" 160 $none
	await_ready "$l"

	load $jobs --seed=14
	control store '{"lose":40}'
	kill -KILL "$(pid_of "$(leader $vms)")"
	sleep 2
	control store '{"lose":0}'
	control store '{"forget":1}'
	served "store loses answers and forgets" 100 $none
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
	served "store down, then silent" 170 $none

	load $jobs --seed=16
	control target '{"target":0,"failing":100}'
	control target '{"target":1,"stuck":1}'
	control target '{"target":2,"dark":1}'
	control target '{"target":3,"reborn":1}'
	sleep 3
	control target '{"target":0,"failing":0}'
	control target '{"target":1,"stuck":0}'
	control target '{"target":2,"dark":0}'
	served "targets fail, hang, go dark, come back" 120 $none

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
	served "all entry VMs killed" 90 $none
}

check run
