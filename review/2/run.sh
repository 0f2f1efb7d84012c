#!/bin/sh
# Tasks of the queue have one attempt. A stored job has two tasks on one worker;
# the first ends as failed while the second works. The store is down at that
# moment, for 4 s, and the leader is killed meanwhile. The failed end is taken
# note of, so the task must not be started again.
cd "$(dirname "$0")/../.." || exit 2
out=review/2/record.txt
. review/common.sh
id=5c0e7a21d94b0400

start_all 8
control manifest '{"routes":8,"attempts":1}' >/dev/null
sleep 3
# Both tasks can run on the one worker of kind b only.
answer=$(submit 0 q0 $id "ms=6000 first_ms=1200 first_fail=1" '{"count":2,"cpu":2000,"taskMemoryMb":64,"estimatedMs":2000,"requirements":"b"}')
test "$(echo "$answer" | cut -c1-3)" = 200 || could_not_run "not accepted"
await_runs $id 2 10 || could_not_run "the tasks do not run"
sleep 0.5
if test "$TROUBLE" != 0
then
	l=$(leader)
	test "$l" != none || could_not_run "no leader"
	control down '{"ms":4000}' >/dev/null
	sleep 1.5
	kill -KILL "$(pid_of "$l")"
	note "VM $l, the leader, is killed"
	sleep 1
	start_vm "$l"
	note "VM $l is started again"
fi
tries=0
while test $tries -lt 25
do
	s=$(state $((tries % 3)) q0 $id)
	case $s in
	completed|failed) break ;;
	esac
	tries=$((tries + 1))
	sleep 1
done
sleep 1
note "the job is shown as $s"
failed=$(awk -v task="$id.0.0.0" '$0 ~ task ".* failed, is taken note of" { print $1 * 1000; exit }' "$out")
test "$failed" || held "the end is not taken note of"
again=$(awk -v task="$id.0.0.0" -v at="$failed" '$0 ~ " starts " task && $1 * 1000 > at' "$out" | wc -l)
test "$again" = 0 && held "the task is not started again"
broken "a task with one attempt is started $again times after its run has ended as failed and that end was taken note of; the job is shown as $s"
