#!/bin/sh
# Nine entry VMs under load, while one is killed and restarted, one is paused,
# one is stopped as planned, and the platform has an outage. The load generator
# compares the answers with the targets' records: no task may have started
# twice, and each answer must be complete, failed or not run, as recorded.
set -u
dir=build/out/nine
mkdir -p $dir
rm -f $dir/*.log
. ./regress/deploy.sh
trap 'stop_all' EXIT

write_vms 9 12 8 >$dir/vms.json
start_platform
start_targets 12 8 --spread=0.4 --speed=1,2,0.5 --seed=9
i=0
entry_vms=
while test $i -lt 9
do
	start_vm $i --drain-limit=20000 ${VM_ARGS:-}
	entry_vms="$entry_vms --entry-vm=$(http_of $i)"
	i=$((i + 1))
done
i=0
while test $i -lt 9
do
	await_ready $i || { echo "vm$i did not become ready"; exit 1; }
	i=$((i + 1))
done

"$bin"/rosemary-load $entry_vms --service=deadline-desk --rate=40 \
	--tasks=1-20 --task-ms=20-200 --seconds=${SECONDS_OF_LOAD:-14} \
	--timeout=8000 --resubmit=0.3 --own-keys=0.2 --requests=0.2 \
	--retry-for=4000 --seed=${SEED:-1} --settle=2000 \
	--verify=127.0.0.1:$((port + 100))x12 >$dir/load.txt 2>&1 &
load=$!
sleep 2
kill -KILL "$(pid_of 1)"
sleep 1
kill -STOP "$(pid_of 2)"
start_vm 1
sleep 2
control '{"outage":true}'
kill -CONT "$(pid_of 2)"
sleep 2
kill -TERM "$(pid_of 3)"
stopped=$(pid_of 3)
sleep 2
control '{"outage":false}'
control '{"lose_answers":3}'
wait $load
load_status=$?
cat $dir/load.txt
wait "$stopped"
stop_status=$?
echo "load: $load_status, planned stop: $stop_status"
grep -h invariant_violations $dir/load.txt | grep -v ' 0.0$' && exit 1
grep -l -E 'ERROR: (Address|Leak)Sanitizer|runtime error' $dir/vm*.log && exit 1
test $load_status = 0 && test $stop_status = 0
