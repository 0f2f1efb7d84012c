#!/bin/sh
# Single requests at the limits, without a crowd: a body of the longest legal
# size is served, also if it comes slowly, and a longer one is refused.
. ./regress/crowd-pool.sh

# A stored job is accepted, however late its body is complete.
stored_job='{"specification":"30","steps":[{"count":1,"cpu":6000,"estimatedMs":30}]}'

# body BYTES: prints a job of that length.
body () {
	printf '%s%*s' "$stored_job" $(($1 - ${#stored_job})) ''
}

# post ID BYTES FLAG...: submits a job of that length and prints the status.
post () {
	id=$1 bytes=$2
	shift 2
	body "$bytes" | curl -s -o "$dir"/reply -w '%{http_code}' "$@" \
		--data-binary @- "http://$(http_of 0)/q/000000000000$id" || :
}

run () {
	start_small_pool
	echo "longest: $(post 0001 $max_body)"
	echo "longest, slow: $(post 0002 $max_body --limit-rate 65536)"
	echo "longest, chunked: $(post 0003 $max_body \
		-H 'Transfer-Encoding: chunked')"
	echo "too long: $(post 0004 $((max_body + 1)))"
	echo "too long, chunked: $(post 0005 $((max_body + 1)) \
		-H 'Transfer-Encoding: chunked')"
	ordinary_requests "after these"
	expect_no_violation
}

check run
