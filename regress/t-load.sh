#!/bin/sh
# The load generator: a run without faults, and one with tasks started twice,
# which must be detected. Each job has its own timeout, as one that is the same
# for all hides a job that gets another one's.
. regress/lib.sh

start_all 2 4 --speed 1,0.5
load () {
	"$bin/rosemary-load" -e "$(http_of 0)" -e "$(http_of 1)" \
		--service deadline-desk \
		--rate 60 --seconds 1 --tasks 1-8 --task-ms 1-10 \
		--team a:2 --team b --resubmit 0.3 \
		--requests 0.2 --retry-for 10000 --settle 100 \
		--timeout 15000-60000 \
		--timeout 15000-60000 \
		--verify "$(target_of 0)x4" --json "$@" \
		>"$dir/report" 2>"$dir/err"
}

run () {
	echo '# a run without faults'
	load --run one && echo 'no fault'
	pick faults <"$dir/report"
	pick jobs <"$dir/report"
	pick states <"$dir/report"
	echo '# the same tasks under new keys: every one is started twice'
	load --run one || echo "exit $?"
	test "$(pick faults.started_twice <"$dir/report")" -gt 100 &&
		echo 'started twice, and detected'
	pick faults.double_starts <"$dir/report"
	grep -q 'FAULT: job one/.* a task was started twice' "$dir/err" &&
		echo 'jobs are reported'
}

check run
