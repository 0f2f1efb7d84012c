#!/bin/sh
# The manifest grows by 100 routes. While large jobs have all workers, a job
# waits in each of these queues. Entry VMs say for a part of them that no job
# waits there.
cd "$(dirname "$0")/../.."
case=review/15
. ./review/common-3.sh
start_pool

n=100
more=
i=0
while test $i -lt $n
do
	more="$more,$(route q$((100 + i)))"
	i=$((i + 1))
done
# Without the disruption the manifest stays as it is, and the jobs are those of
# the one queue that it has.
if test "$trouble" = 1
then
	manifest 7 "$more" >"$dir"/manifest-7
	test "$($rig put $store config "$dir"/manifest-7)" = 200 ||
		unable "the manifest was not accepted"
	note "manifest 7 confirmed, with $n more routes"
	sleep 3
fi
queue_of () {
	test "$trouble" = 1 && echo q$((100 + $1)) || echo q
}

send POST 0 /q/15000000000000a1 3000 "$(job 8 16000 60000)"
sleep 1
i=0
while test $i -lt $n
do
	send POST $((i % 3)) "/$(queue_of $i)/15000000000001$((10 + i))" 3000 \
		"$(job 1 2000 100)"
	test "$answer" = "200 {}" || unable "a job was not accepted"
	i=$((i + 1))
done
# visible_ms (3000) and 2 s more after the last was accepted.
sleep 6
wrong=0
for v in 0 1 2
do
	i=0
	while test $i -lt $n
	do
		send GET $v "/$(queue_of $i)/" 3000
		least=$(test "$trouble" = 1 && echo 1 || echo $n)
		waiting=$(echo "$answer" |
			sed -n 's/^200 {"waiting":\([0-9]*\)}$/\1/p')
		test -n "$waiting" || unable "no count: $answer"
		# Under half of those that were accepted and have not begun.
		test $((2 * waiting)) -ge $least || wrong=$((wrong + 1))
		test "$trouble" = 1 || break
		i=$((i + 1))
	done
done
begun=$(awk '$3 == "start" && index($4, "15000000000001") == 1' "$record" |
	wc -l)
note "jobs of the queues that have begun: $begun; wrong counts: $wrong"
test "$begun" = 0 || unable "some jobs have begun"
test $wrong = 0 || broken "$wrong counts were under half of the jobs"
held "all counts were right"
