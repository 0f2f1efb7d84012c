#!/bin/sh
# Measures entry VMs with real processes on loopback and prints lines of
# "name value" for docs/capacity-figures.txt. It checks nothing.
#
#	regress/measure.sh path RATE TASKS SECONDS [TASK_MS]
#	regress/measure.sh idle TARGETS
set -u
BIN=${BIN:-build}
dir=build/out/measure
mkdir -p $dir
. ./regress/deploy.sh
trap stop_all EXIT

# cpu_of PID: prints the CPU time that the process has used, in ms.
cpu_of () {
	awk -v hz="$(getconf CLK_TCK)" '{print ($14 + $15) * 1000 / hz}' \
		"/proc/$1/stat"
}

# rss_of PID: prints the resident memory of the process, in kB.
rss_of () {
	awk '/^VmRSS/ {print $2}' "/proc/$1/status"
}

# measure_path RATE TASKS SECONDS [TASK_MS]: runs a load on two entry VMs and
# 16 targets of 60 slots; prints the CPU time per start and the latency.
measure_path () {
	write_vms 2 16 60 >$dir/vms.json
	start_platform
	start_targets 16 60 --service-ms=0 --threads=4
	start_vm 0 ${VM_ARGS:-}
	start_vm 1 ${VM_ARGS:-}
	await_ready 0 && await_ready 1 || exit 1
	sleep 1
	before=$(($(cpu_of "$vm_0") + $(cpu_of "$vm_1")))
	"$bin"/rosemary-load --entry-vm="$(http_of 0)" \
		--entry-vm="$(http_of 1)" --service=deadline-desk \
		--rate="$1" --tasks="$2" --task-ms="${4:-0}" --seconds="$3" \
		--threads=3 --seed=1 \
		--verify=127.0.0.1:$((port + 100))x16 >$dir/load.txt 2>&1
	status=$?
	after=$(($(cpu_of "$vm_0") + $(cpu_of "$vm_1")))
	awk -v cpu=$((after - before)) -v status=$status '
		/^starts_per_s/ {print "starts_per_s", $2}
		/^tasks_done/ {print "cpu_us_per_start", cpu * 1000 / $2}
		/^[a-z_]+/ {group = $1}
		/^  p50/ && group == "overhead_us" {print "overhead_p50_us", $2}
		/^  p99/ && group == "overhead_us" {print "overhead_p99_us", $2}
		/^  (sent|fewest)/ && group == "messages" {print "messages_" $1, $2}
		END {print "load_status", status}' $dir/load.txt
	echo "rss_kb $(rss_of "$vm_0")"
}

# measure_idle TARGETS: prints the CPU time and memory of one entry VM that
# gets no calls.
measure_idle () {
	write_vms 1 "$1" 8 >$dir/vms.json
	start_platform
	start_vm 0 ${VM_ARGS:-}
	await_ready 0 || exit 1
	sleep 3
	before=$(cpu_of "$vm_0")
	sleep 10
	after=$(cpu_of "$vm_0")
	echo "idle_cpu_us_per_s $(((after - before) * 100))"
	echo "idle_rss_kb $(rss_of "$vm_0")"
}

kind=$1
shift
measure_$kind "$@"
