#!/bin/sh
# Clients that cancel ids which nobody has submitted. Each cancellation that is
# acknowledged takes a row of the store. Guards against a store that they fill,
# and against submissions and cancellations of others that fail meanwhile.
. ./regress/crowd-pool.sh

# cancel_many VM PREFIX: cancels 2,000 ids, and prints the status of each.
cancel_many () {
	curl --silent --noproxy '*' -X DELETE \
		--parallel --parallel-max 100 -o /dev/null -w '%{http_code}\n' \
		"http://$(http_of "$1")/q/$2[00000-01999]" 2>/dev/null
}

# store_writes: prints the transactions of the store so far.
store_writes () {
	counts | pick writes
}

run () {
	start_small_pool
	before=$(store_writes)
	cancel_many 0 000000000aa >"$dir"/statuses.0 &
	first=$!
	cancel_many 1 000000000bb >"$dir"/statuses.1
	wait $first
	took=$(($(store_writes) - before))
	cat "$dir"/statuses.0 "$dir"/statuses.1 | sort | uniq -c |
		sed 's/^ *//' >"$dir"/statuses
	# Queries that wait are bounded as well, so fewer may be acknowledged.
	acked=$(sed -n 's/ 410$//p' "$dir"/statuses)
	at_most acknowledged 2048 "{\"acknowledged\":$acked}"
	test "$(sed 's/.* //' "$dir"/statuses)" = "410
503" || cat "$dir"/statuses
	# One for each row at most, and those of the leader beside them.
	at_most transactions $((acked + 100)) "{\"transactions\":$took}"
	ordinary_requests "after it"
	call --status POST "$(http_of 0)" /q/00000000000ccc01 \
		'{"specification":"9000","steps":[{"count":1,"cpu":6000,"estimatedMs":9000}]}'
	echo "cancelled: $(call --status DELETE "$(http_of 1)" \
		/q/00000000000ccc01)"
	expect_no_violation
}

check run
