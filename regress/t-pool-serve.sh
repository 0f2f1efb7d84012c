#!/bin/sh
# A pool of three entry VMs and six targets without faults: completed and
# refused jobs, malformed rows in the store, a draining target, a planned stop,
# and versions of the operator's table of routes.
. ./regress/pool.sh

run () {
	start_pool 3 6
	vms="0 1 2"

	# Jobs are completed at every entry VM.
	out=$(callers --rate=30 --seconds=3 --tasks=2 --ms=60)
	at_least completed 88 "$out"
	at_most unexpected 0 "$out"
	expect_no_violation

	# Refused requests, and the status of each.
	echo "no such queue: $(call --status POST "$(http_of 0)" /none/00 '{}')"
	echo "malformed job: $(call --status POST "$(http_of 1)" /q/00 '{}')"
	echo "unsupported job: $(call --status POST "$(http_of 2)" /q/01 \
		'{"longRunning":true,"steps":[{"count":1,"cpu":1}]}')"
	echo "too large for any target: $(call --status POST "$(http_of 0)" /q/02 \
		'{"specification":"1","bestEffort":true,"steps":[{"count":1,
		"cpu":99000,"estimatedMs":10}]}')"
	echo "unknown job: $(call --status GET "$(http_of 0)" /q/03)"
	echo "cancelled unknown job: $(call --status DELETE "$(http_of 0)" /q/03)"
	echo "waiting: $(call GET "$(http_of 1)" /q/)"

	# A job with two steps, of which one depends on the other.
	echo "two steps: $(call POST "$(http_of 0)" /q/0000000000000010 \
		'{"specification":"30","bestEffort":true,"steps":[
	{"count":3,"cpu":6000,"estimatedMs":30},
	{"count":2,"cpu":6000,"estimatedMs":30,"after":[0]}]}')"

	# Malformed rows of another writer are ignored and logged by the leader.
	control row '{"table":"servers","key":"i-odd","text":"\u0001 not json"}'
	control row '{"table":"servers","key":"i-half","text":"{\"service\":7}"}'
	sleep 0.5
	out=$(callers --rate=20 --seconds=1 --seed=2)
	at_least completed 20 "$out"
	echo "malformed rows logged by the leader: $(grep -c \
		target_row_unreadable "$dir"/vm"$(leader $vms)".log)"

	# A draining target gets no new tasks.
	control target '{"target":0,"draining":1}'
	sleep 1
	out=$(callers --rate=20 --seconds=2 --seed=3)
	at_least completed 39 "$out"
	expect_no_violation

	# A stopping VM gives up jobs that outlast the grace period, and exits
	# with status 0.
	start_vm 3 --grace=1200 --rotation=100
	await_ready 3
	call --status POST "$(http_of 3)" /q/0000000000000020 \
		'{"specification":"3000","bestEffort":true,"steps":[{"count":1,
		"cpu":6000,"estimatedMs":3000}]}' >"$dir"/long &
	long_pid=$!
	sleep 0.3
	kill -TERM "$(pid_of 3)"
	wait "$(pid_of 3)" && echo "planned stop during a long job: exit 0"
	wait $long_pid
	echo "the long job: $(cat "$dir"/long)"

	# A VM whose address is in use logs an error and exits.
	"$bin"/rosemary-poold --vm-name=vm9 --failure-domain=z \
		--listen="$(http_of 0)" --ready-listen=127.0.0.1:$((port + 129)) \
		--link=127.0.0.1:$((port + 169)) --store=127.0.0.1:$port \
		>"$dir"/vm9.log || echo "address in use: exit $?," \
		"$(grep -c 'cannot listen' "$dir"/vm9.log) line"

	# Every VM loads a new version of the routes, and ignores an older one.
	control row '{"table":"op","key":"config","text":"{\"version\":5,\"routes\":[{\"name\":\"q\",\"host\":\"127.0.0.1\",\"pathPrefix\":\"/new/\",\"timeoutMs\":5000,\"service\":\"desk\"}]}"}'
	sleep 1
	for v in $vms
	do
		echo "vm$v: new $(call --status GET "$(http_of $v)" /new/)," \
			"old $(call --status GET "$(http_of $v)" /q/)"
	done
	control row '{"table":"op","key":"config","text":"{\"version\":4,\"routes\":[]}"}'
	sleep 1
	echo "after an older version: $(call --status GET "$(http_of 0)" /new/)"

	# The log is JSON, one object a line.
	for v in 0 1 2 3 9
	do
		"$bin/rosemary-fake-call" --check-lines <"$dir"/vm$v.log ||
			echo "vm$v.log: these lines are not JSON objects"
	done
}

check run
