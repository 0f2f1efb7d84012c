#!/bin/sh
# Replies to holds come later than those to starts, and jobs fail while others
# of their tasks are at work. All entry VMs are killed and started again
# meanwhile. Guards against tasks that run twice, as a list from before their
# start counts as one from after it.
. ./regress/pool.sh

# submit_failing FIRST N: submits N jobs of which the first task always fails,
# and which are not submitted again.
submit_failing () {
	n=$1
	while test "$n" -lt $(($1 + $2))
	do
		"$bin"/rosemary-fake-call POST "$(http_of $((n % 3)))" \
			"/q/00000000000f$n" \
			'{"bestEffort":true,"specification":"900 first-fails","steps":[{"count":10,"cpu":6000,"estimatedMs":900,"antiAffinity":2}]}' \
			>/dev/null 2>&1 &
		pids="$pids $!"
		sleep 0.1
		n=$((n + 1))
	done
}

run () {
	start_pool 3 8
	vms="0 1 2"
	for t in 0 1 2 3 4 5 6 7
	do
		control target "{\"target\":$t,\"cpu\":96000,\"list_ms\":20}"
	done

	load --rate=60 --seconds=13 --tasks=3 --ms=150 --seed=51 \
		--verify=127.0.0.1:$port
	submit_failing 1000 40
	for v in $vms
	do
		kill -KILL "$(pid_of "$v")"
	done
	sleep 0.3
	for v in $vms
	do
		start_vm "$v"
	done
	for v in $vms
	do
		await_ready "$v"
	done
	submit_failing 2000 40
	served "all entry VMs killed among jobs that fail" 500 unexpected \
		unanswered rejected_but_ran completed_but_not_done
}

check run
