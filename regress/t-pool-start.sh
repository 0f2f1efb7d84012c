#!/bin/sh
# Requests that come before an entry VM has read the table of routes. Guards
# against turning them away although the table is there a moment later, and
# against a request that waits for ever for a store that does not answer.
. ./regress/pool.sh

run () {
	start_platform 4
	control store '{"silent":1}'
	start_vm 0
	sleep 0.3
	call --status POST "$(http_of 0)" /q/0000000000000001 \
		'{"specification":"30","bestEffort":true,"steps":[{"count":1,
		"cpu":6000,"estimatedMs":30}]}' >"$dir"/first &
	first=$!
	wait $first
	echo "the store does not answer: $(cat "$dir"/first)"
	call --status POST "$(http_of 0)" /q/0000000000000002 \
		'{"specification":"30","bestEffort":true,"steps":[{"count":1,
		"cpu":6000,"estimatedMs":30}]}' >"$dir"/second &
	second=$!
	sleep 0.05
	kill -TERM "$(pid_of 0)"
	wait $second
	echo "the VM is stopped meanwhile: $(cat "$dir"/second)"
	wait "$(pid_of 0)" || :
	control store '{"silent":0}'

	# The table is there 0.1 to 0.3 s after the request.
	control store '{"down":1}'
	start_vm 1
	tries=0
	while test "$(call --status GET 127.0.0.1:$((port + 121)) \
		/api/readiness)" != 503
	do
		tries=$((tries + 1))
		test $tries -lt 200 || break
		sleep 0.01
	done
	control store '{"up_after_ms":150}'
	echo "the table is read a moment later: $(call --status GET \
		"$(http_of 1)" /none/00)"
}

check run
