#!/bin/sh
# Failure domains are evacuated by an operator while the leader is killed, a
# VM starts anew, and the store is down. Guards against starts in an evacuated
# domain, which the stand-in reports, against a domain that stays without work
# when the request is taken back, and against jobs that wait though no target is
# left for them.
. ./regress/pool.sh

jobs="--rate=30 --tasks=2 --ms=60"
zero_counts="unexpected unanswered no_retry_after"

# evacuate ZONE [TEXT]: writes the request.
evacuate () {
	text=${2-}
	test -n "$text" || text="{}"
	control row "{\"table\":\"op\",\"key\":\"evacuate/$1\",\"text\":\"$text\"}"
}

# take_back ZONE: removes the request.
take_back () {
	control row "{\"table\":\"op\",\"key\":\"evacuate/$1\"}"
}

# evacuated: prints the number of evacuated domains that each VM knows.
evacuated () {
	for v in $vms
	do
		call GET 127.0.0.1:$((port + 140 + v)) /metrics |
			sed -n 's/^rosemary_pool_domains_evacuated //p'
	done | tr '\n' ' '
}

# targets_evacuated: prints how many targets the leader counts as evacuated.
targets_evacuated () {
	call GET 127.0.0.1:$((port + 140 + $(leader $vms))) /metrics |
		sed -n 's/^rosemary_pool_targets_evacuated //p'
}

run () {
	start_pool 3 8
	vms="0 1 2"
	for t in 0 1 2 3
	do
		control target "{\"target\":$t,\"zone\":\"y\"}"
	done
	sleep 0.7

	load $jobs --seconds=6 --seed=21
	evacuate y
	sleep 1
	echo "known by the VMs: $(evacuated)"
	echo "evacuated targets: $(targets_evacuated)"
	l=$(leader $vms)
	kill -KILL "$(pid_of "$l")"
	sleep 2
	start_vm "$l"
	served "leader killed during an evacuation" 150 $zero_counts
	await_ready "$l"
	echo "known by the VMs: $(evacuated)"

	load $jobs --seconds=6 --seed=22
	control store '{"down":1}'
	sleep 2
	control store '{"down":0}'
	sleep 1
	control store '{"compact":1}'
	served "store down and compacted during an evacuation" 150 $zero_counts
	echo "known by the VMs: $(evacuated)"

	evacuate z 'not an object'
	sleep 1
	echo "known by the VMs: $(evacuated)"
	out=$(callers $jobs --seconds=1 --seed=23)
	at_most completed 0 "$out"
	at_least rejected 25 "$out"
	at_most unanswered 0 "$out"
	echo "no target is left: $(call --status POST "$(http_of 0)" \
		/q/0000000000000030 '{"specification":"30","bestEffort":true,
		"steps":[{"count":1,"cpu":6000,"estimatedMs":30}]}')"

	take_back y
	take_back z
	sleep 1
	echo "known by the VMs: $(evacuated)"
	evacuate z
	load $jobs --seconds=3 --seed=24
	served "only the other domain" 80 $zero_counts
	take_back z
	evacuate y
	load $jobs --seconds=3 --seed=25
	served "evacuated again" 80 $zero_counts

	# Rows of another writer. The log has one line on each.
	evacuate ""
	evacuate nowhere
	sleep 1
	echo "known by the VMs: $(evacuated)"
	echo "lines on malformed rows: $(cat "$dir"/vm"$(leader $vms)".log |
		grep -c 'evacuation.*applied')"
}

check run
