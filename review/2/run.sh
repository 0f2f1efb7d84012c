#!/bin/sh
# One worker of eight is grey for 5 s: of five starts it serves three, does the
# next and resets the channel without an answer, and refuses the last with 503.
# Clients hand in stored jobs of a few short tasks all the while. No task
# may run twice at the same time on workers that are up.
cd "$(dirname "$0")/../.." || exit 2
out=review/2/record.txt
. review/common.sh
id=5c0e7a21d94b1
step='{"count":8,"cpu":500,"taskMemoryMb":64,"estimatedMs":700}'

start_all 8
# Earlier jobs: the channels to the workers are open.
i=100
while test $i -lt 104
do
	answer=$(submit $((i % 3)) q0 ${id}$i "ms=300" "$step")
	test "$(echo "$answer" | cut -c1-3)" = 200 || could_not_run "not accepted"
	i=$((i + 1))
done
sleep 1.5
test "$TROUBLE" = 0 || control resets '{"worker":0,"ms":5000}' >/dev/null
while test $i -lt 140
do
	submit $((i % 3)) q0 ${id}$i "ms=700" "$step" >/dev/null
	sleep 0.1
	i=$((i + 1))
done
sleep 5
ran=$(grep -c " starts ${id}" "$out")
test "$ran" -ge 300 || could_not_run "only $ran starts"
n=$(control look '{}' | field twice)
test "$n" = 0 && held "no task runs twice at the same time"
grep TWICE "$out" | head -3
broken "$n times a task is started while a run of it is at work on a worker that is up"
