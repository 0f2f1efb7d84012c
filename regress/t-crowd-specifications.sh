#!/bin/sh
# Whole jobs with specifications of legal size that wait for room.
. ./regress/crowd-pool.sh
answers=any_answer

run () {
	start_small_pool
	crowd "$(http_of 0)" --clients=300 --finish=1 --body=$max_body \
		--text='{"bestEffort":true,"steps":[{"count":1,"cpu":6000,"estimatedMs":1}],"specification":"60000' \
		--tail='"}'
}

check run
