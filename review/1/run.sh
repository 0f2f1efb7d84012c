#!/bin/sh
# Four workers, whose answers to holds come 20 ms later than those to starts, as
# answers on different channels may overtake each other. Clients send short
# best-effort jobs all the time. Some jobs can never be done: their first task
# ends as failed, while others of the job work on the same worker. No task may run
# twice at the same time.
cd "$(dirname "$0")/../.." || exit 2
out=review/1/record.txt
. review/common.sh
bad=5c0e7a21d94b05
good=5c0e7a21d94b
clients=

# client C: short jobs, 120 in about 10 s.
client () {
	sleep 0.0$1
	i=0
	while test $i -lt 120
	do
		$rig call -d 3000 POST "$(http_of $(($1 % 3)))" "/q2/${good}7$1$(printf %02x $i)" '{"bestEffort":true,"specification":"ms=700","steps":[{"count":4,"cpu":100,"taskMemoryMb":64,"estimatedMs":700}]}' >/dev/null &
		sleep 0.08
		i=$((i + 1))
	done
	wait
}

start_all 4
control manifest '{"routes":8,"attempts":2}' >/dev/null
for w in 0 1 2 3
do
	control holds "{\"worker\":$w,\"ms\":20}" >/dev/null
done
sleep 3
for c in 1 2 3 4 5 6
do
	client $c &
	clients="$clients $!"
	pids="$pids $!"
done
sleep 1
# Ten jobs that can never be done, in less than 3 s, of the same queue.
note "jobs that can never be done begin to come"
i=10
while test $i -lt 20
do
	test "$TROUBLE" = 0 || request $((i % 3)) POST "/q2/$bad$i" "{\"bestEffort\":true,\"specification\":\"ms=2000 first_ms=1$i first_fail=1\",\"steps\":[{\"count\":8,\"cpu\":100,\"taskMemoryMb\":64,\"estimatedMs\":1000,\"antiAffinity\":2}]}" >/dev/null &
	sleep 0.27
	i=$((i + 1))
done
note "no more of them come"
for c in $clients
do
	wait "$c"
done
n=$(control look '{}' | field twice)
ran=$(grep -c " starts ${good}7" "$out")
test "$ran" -gt 1500 || could_not_run "only $ran tasks of the clients were started"
test "$n" = 0 && held "no task runs twice at the same time"
grep "TWICE" "$out" | head -3
broken "$n times a task is started while a run of it is at work on a worker that is up"
