#!/bin/sh
# Small bodies of stored jobs with as many tasks as a job may have, most of which
# wait for an earlier step.
. ./regress/crowd-pool.sh
answers=any_answer answers_after=any_answer
many_tasks='{"specification":"60000","steps":[{"count":1,"cpu":6000,"estimatedMs":1},{"count":4095,"cpu":1,"estimatedMs":1,"after":[0]}]}'

run () {
	start_small_pool
	crowd "$(http_of 0)" --clients=300 --finish=1 --body=200 \
		--text="$many_tasks"
}

check run
