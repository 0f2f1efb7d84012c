#!/bin/sh
# Cancellations of jobs that no entry VM knows yet. Guards against a job that
# runs though its cancellation was acknowledged: its submission was still under
# way, as the store made the write of its row late, or as its caller repeated it
# at another entry VM or to another leader.
. ./regress/pool.sh

stored='{"specification":"9000","steps":[{"count":1,"cpu":6000,"estimatedMs":9000}]}'
unstored='{"specification":"9000","bestEffort":true,"steps":[{"count":1,"cpu":6000,"estimatedMs":9000}]}'

# submit VM ID BODY FLAG..., state VM ID, cancel VM ID FLAG...: print the status.
submit () {
	vm=$1 id=$2 body=$3
	shift 3
	call --status "$@" POST "$(http_of "$vm")" /q/00000000000000"$id" "$body"
}
state () {
	call --status GET "$(http_of "$1")" /q/00000000000000"$2"
}
cancel () {
	vm=$1 id=$2
	shift 2
	call --status "$@" DELETE "$(http_of "$vm")" /q/00000000000000"$id"
}

# lose_write MS: the store leaves the next write of a new job unanswered, and
# makes it after MS.
lose_write () {
	control store "{\"late_writes\":1,\"late_ms\":$1}"
}

# expect_no_start WHAT: fails if a task was started.
expect_no_start () {
	starts=$(counts | pick starts)
	test "$starts" = 0 || { echo "$1: $starts starts"; return 1; }
	echo "$1: nothing started"
}

run () {
	start_pool 3 8
	vms="0 1 2"

	lose_write 4000
	echo "submitted: $(submit 1 01 "$stored" --deadline=700)"
	echo "cancelled at another VM: $(cancel 2 01), again: $(cancel 0 01)"
	sleep 4
	expect_no_start "written late"
	echo "state: $(state 0 01)"

	lose_write 3000
	submit 1 02 "$stored" --deadline=700 >"$dir"/02
	echo "cancelled at the VM that submitted: $(cancel 1 02)"
	lose_write 3000
	submit 1 03 "$stored" --deadline=2500 >"$dir"/03 &
	sleep 0.3
	echo "cancelled before the caller has an answer: $(cancel 2 03)"
	wait $!
	echo "its answer, from the second write: $(cat "$dir"/03)"
	sleep 3
	expect_no_start "written late"

	lose_write 5000
	submit 0 04 "$stored" --deadline=700 >"$dir"/04
	l=$(leader $vms)
	echo "cancelled: $(cancel $(((l + 1) % 3)) 04)"
	kill -KILL "$(pid_of "$l")"
	sleep 6
	start_vm "$l"
	await_ready "$l"
	expect_no_start "the leader is killed before the late write"

	echo "cancelled, then submitted: $(cancel 0 05), $(submit 1 05 "$stored")," \
		"$(state 2 05)"
	echo "not stored: $(cancel 0 06), $(submit 1 06 "$unstored")"
	l=$(leader $vms)
	kill -KILL "$(pid_of "$l")"
	for v in $(((l + 1) % 3)) $(((l + 2) % 3))
	do
		call --status POST "$(http_of $v)" /q/0000000000000006 \
			"$unstored" >"$dir"/06.$v
	done
	expect_no_start "submitted after the cancellation"
	start_vm "$l"
	await_ready "$l"

	submit 0 07 "$unstored" --deadline=9000 >"$dir"/07 &
	tries=0
	until test "$(counts | pick running)" != 0 || test $tries = 60
	do
		tries=$((tries + 1))
		sleep 0.05
	done
	echo "cancelled at its VM: $(cancel 0 07)"
	wait $!
	echo "its answer: $(cat "$dir"/07), submitted again: $(submit 1 07 "$unstored")"
	sleep 1
	echo "starts: $(counts | pick starts), running: $(counts | pick running)"

	control store '{"down":1}'
	timed "the store is away" 0 2500 cancel 1 08 --deadline=1500
	control store '{"down":0}'
	expect_no_violation
}

check run
