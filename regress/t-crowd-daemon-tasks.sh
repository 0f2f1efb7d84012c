#!/bin/sh
# rosemaryd: whole submissions of legal size of tasks that take long.
. ./regress/crowd-daemon.sh
answers=any_answer answers_after=any_answer

run () {
	start_small_daemon 3000
	crowd "$(http_of 0)" --clients=300 --path=/v1/jobs \
		--id-header=Idempotency-Key --body=$max_body --finish=1 \
		--text='{"service":"deadline-desk","team":"board","timeout_ms":60000,"tasks":[{"id":"a","payload":"' --tail='"}]}'
}

check run
