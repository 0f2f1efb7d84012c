#!/bin/sh
# A zone is cut off for 2.8 s, with resets: its entry VM and its workers reach each other and
# nothing else, and clients still reach it. Clients of the zone send short
# best-effort jobs all the time. A stored job has tasks on all workers, which end
# as done 0.6 s after the cut. No task may be started after a run of it has ended
# as done, if that end is taken note of then or later.
cd "$(dirname "$0")/../.." || exit 2
out=review/2/record.txt
. review/common.sh
id=5c0e7a21d94b0100
short=5c0e7a21d94b9

# clients_of VM: 20 jobs a second for 9 s.
clients_of () {
	i=100
	while test $i -lt 280
	do
		$rig call -d 1500 POST "$(http_of "$1")" "/q1/$short$i" '{"bestEffort":true,"specification":"ms=400","steps":[{"count":3,"cpu":1000,"taskMemoryMb":64,"estimatedMs":400,"antiAffinity":1}]}' >/dev/null &
		sleep 0.05
		i=$((i + 1))
	done
	wait
}

start_proxies
start_all 9
l=$(leader)
test "$l" != none || could_not_run "no leader"
# A zone that has not the leader.
z=$(((l + 1) % 3))
clients_of $z &
pids="$pids $!"
sleep 1
answer=$(submit "$l" q0 $id "ms=1500" '{"count":18,"cpu":1000,"taskMemoryMb":64,"estimatedMs":1500,"antiAffinity":2}')
test "$(echo "$answer" | cut -c1-3)" = 200 || could_not_run "not accepted"
sleep 0.9
if test "$TROUBLE" != 0
then
	echo "front-z$z reset" >"$dir/cut"
	control cutzone "{\"zone\":\"z$z\",\"ms\":2800,\"resets\":1}" >/dev/null
	control cutpath "{\"vm\":$z,\"ms\":2800,\"how\":\"reset\"}" >/dev/null
	sleep 2.8
	rm "$dir/cut"
	note "the cut is over"
fi
sleep 5
tries=0
until test "$(state "$l" q0 $id)" = completed
do
	tries=$((tries + 1))
	test $tries -lt 20 || could_not_run "the job is not completed"
	sleep 1
done
awk -v prefix=$id -f review/again.awk "$out" >"$dir"/again
again=$(sed -n 's/^again //p' "$dir"/again)
test "$again" = 0 && held "no task is started after it was done"
grep started "$dir"/again
broken "$again tasks of a stored job are started again after a run of them has ended as done, and that end is taken note of"
