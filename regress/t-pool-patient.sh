#!/bin/sh
# Callers that state deadlines of 0.1 to 60 s, beside a route's timeout of 5 s,
# with jobs of 100 ms to 8 s. The leader is killed and another entry VM is
# stopped as planned meanwhile. Guards against runs that outlast a leader and
# are started again, forgotten or given too little room, against answers after
# the stated deadline, and against jobs that are given up although their callers
# wait for far longer than their work takes.
. ./regress/pool.sh

# submit_jobs NAME FLAG...: submits jobs in the background and sets NAME_pid.
submit_jobs () {
	name_of=$1
	shift
	callers --verify=127.0.0.1:$port "$@" >"$dir"/"$name_of" &
	eval "${name_of}_pid=\$!"
}

# ended NAME MIN: waits for the callers. Fails if fewer than MIN jobs were
# completed, or if an answer was late, missing or wrong.
ended () {
	eval "wait \$${1}_pid"
	out=$(cat "$dir"/"$1")
	at_least completed "$2" "$out"
	at_least deadlines "$(echo "$out" | pick jobs)" "$out"
	for field in late unexpected unanswered no_retry_after \
		rejected_but_ran completed_but_not_done
	do
		at_most $field 0 "$out"
	done
	echo "$1: passed"
}

run () {
	begin=$(date +%s)
	start_pool 4 12
	sleep 1 # for the leader to read the lists of all targets
	l=$(leader 0 1 2 3)
	others=$(for v in 0 1 2 3; do test $v = "$l" || echo $v; done)
	stopped=$(echo "$others" | head -1)

	# Jobs that are longer than the grace period do not go to the VM that
	# is stopped: it cannot answer them.
	vms="$l $(echo "$others" | tail -2)"
	submit_jobs patient --rate=1 --seconds=8 --tasks=1 --ms=8000 \
		--deadline-ms=40000-60000 --seed=41
	submit_jobs second --rate=3 --seconds=8 --tasks=1 --ms=1500 \
		--deadline-ms=20000-60000 --seed=42
	vms="0 1 2 3"
	submit_jobs short --rate=20 --seconds=8 --tasks=2 --ms=100 \
		--deadline-ms=100-60000 --seed=43
	sleep 3
	kill -KILL "$(pid_of "$l")"
	sleep 1.5
	kill -TERM "$(pid_of "$stopped")"
	wait "$(pid_of "$stopped")" && echo "planned stop: exit 0"
	start_vm "$l"
	start_vm "$stopped"
	ended patient 8
	ended second 24
	ended short 140
	expect_no_violation
	# All work is done some 10 s after the last job, whatever the deadline.
	took=$(($(date +%s) - begin))
	test $took -le 45 || echo "took $took s"
}

check run
