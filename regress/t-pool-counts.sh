#!/bin/sh
# Counts of waiting jobs of many queues, at each entry VM. Guards against 0 for a
# queue that the leader's heartbeat leaves out, as it names 64 at most, or whose
# job is on a later page of the store.
. ./regress/pool.sh

queues=100
# A stored job that no target has room for.
job='{"specification":"50","steps":[{"count":1,"cpu":900000,"estimatedMs":50}]}'

# put_routes VERSION: writes a table with q and the other queues.
put_routes () {
	routes=$(i=100
		while test $i -lt $((100 + queues))
		do
			printf '%s' ",{\\\"name\\\":\\\"q$i\\\",\\\"host\\\":\\\"127.0.0.1\\\",\\\"pathPrefix\\\":\\\"/q$i/\\\",\\\"timeoutMs\\\":5000,\\\"targetLatencyMs\\\":60,\\\"priority\\\":0,\\\"service\\\":\\\"desk\\\",\\\"maxAttempts\\\":3,\\\"stretch\\\":2}"
			i=$((i + 1))
		done)
	control row "{\"table\":\"op\",\"key\":\"config\",\"text\":\"{\\\"version\\\":$1,\\\"routes\\\":[{\\\"name\\\":\\\"q\\\",\\\"host\\\":\\\"127.0.0.1\\\",\\\"pathPrefix\\\":\\\"/q/\\\",\\\"timeoutMs\\\":5000,\\\"targetLatencyMs\\\":60,\\\"priority\\\":0,\\\"service\\\":\\\"desk\\\",\\\"maxAttempts\\\":3,\\\"stretch\\\":2}$routes],\\\"limits\\\":{\\\"maxBodyBytes\\\":262144}}\"}"
}

# await_routes VM...: waits until the VMs have version 2.
await_routes () {
	for v in "$@"
	do
		tries=0
		until call GET 127.0.0.1:$((port + 140 + v)) /metrics |
			grep -q '^rosemary_pool_routes_version 2'
		do
			tries=$((tries + 1))
			test $tries -lt 200 || { echo "vm$v has no routes"; return; }
			sleep 0.05
		done
	done
}

# counts_at VM: prints how many queues have which count there.
counts_at () {
	i=100
	while test $i -lt $((100 + queues))
	do
		call GET "$(http_of "$1")" /q$i/
		echo
		i=$((i + 1))
	done | sed '/^$/d' | sort | uniq -c | sed 's/^ *//'
}

run () {
	start_pool 3 4
	put_routes 2
	await_routes 0 1 2
	i=100
	while test $i -lt $((100 + queues))
	do
		test "$(call --status POST "$(http_of $((i % 3)))" \
			/q$i/0000000000000$i "$job")" = 200 || echo "q$i: refused"
		i=$((i + 1))
	done
	sleep 2.5
	for v in 0 1 2
	do
		echo "vm$v, $(counts_at $v)"
	done
	echo "no such queue: $(call --status GET "$(http_of 1)" /q999/)"

	# One queue has none any more. The next leader reads the jobs page by page.
	control store '{"page":3}'
	call --status DELETE "$(http_of 0)" /q100/0000000000000100 >"$dir"/none
	l=$(leader 0 1 2)
	kill -KILL "$(pid_of "$l")"
	sleep 3
	for v in $(((l + 1) % 3)) $(((l + 2) % 3))
	do
		echo "after a change of leader, $(counts_at $v | tr '\n' ' ')"
	done
	expect_no_violation
}

check run
