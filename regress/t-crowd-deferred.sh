#!/bin/sh
# A leader that takes over more stored jobs than it has memory for. Guards
# against jobs that are lost, are not counted as waiting, cannot be cancelled or
# are never started: they stay in the store until there is memory for them.
. ./regress/crowd-pool.sh

many_tasks='{"specification":"60000","steps":[{"count":1,"cpu":6000,"estimatedMs":1},{"count":4095,"cpu":1,"estimatedMs":1,"after":[0]}]}'
njobs=12
nnew=0

# job_id N: prints the id of stored job N.
job_id () {
	printf '00000000000ddd%02d' "$1"
}

# each_job METHOD ADDRESS BODY: makes a request for each job, in their order.
each_job () {
	i=0
	while test $i -lt $njobs
	do
		call --status "$1" "$2" /q/"$(job_id $i)" "$3"
		i=$((i + 1))
	done | sort | uniq -c | sed 's/^ *//'
}

# deferred: prints how many jobs vm1, as the leader, has deferred.
deferred () {
	call GET 127.0.0.1:$((port + 141)) /metrics |
		sed -n 's/^rosemary_pool_stored_jobs_deferred //p'
}

# await WHAT COMMAND: repeats the command until it succeeds.
await () {
	what=$1
	shift
	tries=0
	until "$@"
	do
		tries=$((tries + 1))
		test $tries -lt 600 || { echo "$what: not so"; return 1; }
		sleep 0.05
	done
	echo "$what"
}

some_are_deferred () {
	n=$(deferred)
	test "${n:-0}" -gt 0
}

none_is_deferred () {
	test "$(deferred)" = 0
}

# Without a leader the number is not known for a moment.
waiting_has_deferred () {
	n=$(deferred)
	waiting=$(call GET "$(http_of 1)" /q/ | pick waiting)
	test "${n:-0}" -gt 0 && test "${waiting:-0}" -ge "$n"
}

# While no leader says that it has no memory, a job is accepted.
new_job_is_refused () {
	nnew=$((nnew + 1))
	test "$(call --status POST "$(http_of 1)" \
		/q/"$(printf '00000000000eee%02d' $nnew)" "$many_tasks")" = 503
}

last_job_runs () {
	test "$(call GET "$(http_of 1)" /q/"$(job_id $njobs)" |
		pick state)" = running
}

run () {
	start_platform 1
	start_vm 0 --memory=400 --processor=2
	await_ready 0
	each_job POST "$(http_of 0)" "$many_tasks"
	start_vm 1
	await_ready 1
	kill -KILL "$vm_0"
	await "the new leader defers some jobs" some_are_deferred
	await "deferred jobs are counted as waiting" waiting_has_deferred
	echo "a known job again: $(call --status POST "$(http_of 1)" \
		/q/"$(job_id 3)" "$many_tasks")"
	await "a new job is refused" new_job_is_refused
	echo "states: $(each_job GET "$(http_of 1)" '')"
	njobs=$((njobs - 1))
	echo "cancellations: $(each_job DELETE "$(http_of 1)" '')"
	await "no job is deferred any more" none_is_deferred
	await "the last job runs" last_job_runs
	expect_no_violation
}

check run
