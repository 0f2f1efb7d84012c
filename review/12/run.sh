#!/bin/sh
# The store makes the write of a job seconds late. The client gets 504, cancels
# the job and gets 410. The job runs all the same.
cd "$(dirname "$0")/../.."
case=review/12
. ./review/common-3.sh
start_pool
id=12000000000000b1

if test "$trouble" = 1
then
	$rig call POST $store /rig/lose x 1000 \
		'{"table":"rosemary-jobs","count":1,"ms":5500}' >/dev/null
fi
send POST 1 /q/$id 1500 "$(job 1 2000 8000)"
$rig call POST $store /rig/lose x 1000 \
	'{"table":"rosemary-jobs","count":0,"ms":0}' >/dev/null
send DELETE 2 /q/$id 3000
acked=$($rig now)
case $answer in
2* | 410*) ;;
*) unable "the cancelling was not acknowledged" ;;
esac
sleep 15
# cancel_ms is 3000: nothing starts later than that, or runs on 50 ms later.
late=$(awk -v id=$id -v acked="$acked" '$3 == "start" &&
	index($4, id ".") == 1 && $1 > acked + 3000 { print $1 - acked; exit }' \
	"$record")
on_ms=$(running $id $((acked + 3050)) $((acked + 15000)))
note "cancelling acknowledged at $acked; ran for $on_ms ms later than 3050 ms after that"
send GET 0 /q/$id 3000
test -z "$late" ||
	broken "a task was started $late ms after the cancelling was acknowledged"
test "$on_ms" = 0 || broken "a task ran on"
held "nothing was started after the cancelling"
