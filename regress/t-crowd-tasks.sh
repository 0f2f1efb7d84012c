#!/bin/sh
# Small bodies of jobs with as many tasks as a job may have, which take long.
. ./regress/crowd-pool.sh

many_tasks='{"specification":"60000","bestEffort":true,"steps":[{"count":1,"cpu":6000,"estimatedMs":1},{"count":4095,"cpu":1,"estimatedMs":1,"after":[0]}]}'
answers=any_answer

run () {
	start_small_pool
	crowd "$(http_of 0)" --clients=300 --finish=1 --body=200 \
		--text="$many_tasks"
}

check run
