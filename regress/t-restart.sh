#!/bin/sh
# Kills and restarts one of two entry VMs under load, with half of the jobs
# submitted again to the other. The targets' records must show no task started
# twice, and every answer must agree with them. JOBS_PER_S and SECONDS_OF_LOAD
# set the number of jobs; 500 and 20 make ten thousand.
set -u
dir=build/out/restart
mkdir -p $dir
rm -f $dir/*.log
. ./regress/deploy.sh
trap stop_all EXIT

seconds=${SECONDS_OF_LOAD:-6}
write_vms 2 16 60 >$dir/vms.json
start_platform
start_targets 16 60 --service-ms=0 --threads=4
start_vm 0
start_vm 1
await_ready 0 && await_ready 1 || exit 1
"$bin"/rosemary-load --entry-vm="$(http_of 0)" --entry-vm="$(http_of 1)" \
	--service=deadline-desk --rate="${JOBS_PER_S:-100}" --tasks=1-9 \
	--task-ms=5-50 --seconds="$seconds" --timeout=8000 --resubmit=0.5 \
	--resubmit-after=0-1000 --requests=0.2 --own-keys=0.1 \
	--retry-for=4000 --seed="${SEED:-1}" --settle=2000 \
	--verify=127.0.0.1:$((port + 100))x16 >$dir/load.txt 2>&1 &
load=$!
sleep $((seconds / 3))
kill -KILL "$(pid_of 1)"
sleep 1
start_vm 1
wait $load
load_status=$?
cat $dir/load.txt
grep -h invariant_violations $dir/load.txt | grep -v ' 0.0$' && exit 1
grep -l -E 'ERROR: (Address|Leak)Sanitizer|runtime error' $dir/vm*.log && exit 1
test $load_status = 0
