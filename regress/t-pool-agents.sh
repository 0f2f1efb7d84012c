#!/bin/sh
# A pool whose entry VMs have different processor shares. A VM with a small
# share hands leadership to one with a larger share, which delegates its calls
# to targets to an agent, the other VM with a large share. The agent is paused
# and killed, then the leader is killed.
. ./regress/pool.sh

jobs="--rate=20 --seconds=5 --tasks=2 --ms=150"
zero_counts="unexpected unanswered"

# metric VM NAME: prints a metric of the VM.
metric () {
	call GET 127.0.0.1:$((port + 140 + $1)) /metrics |
		sed -n "s/^rosemary_pool_$2 //p"
}

# link_bytes VM METRIC...: prints the sum of metrics of the VM.
link_bytes () {
	vm=$1
	shift
	total=0
	for m in "$@"
	do
		total=$((total + $(metric "$vm" "link_$m")))
	done
	echo $total
}

# within NAME LIMIT BYTES COUNT: fails if there are more bytes each than LIMIT.
within () {
	test $(($3 / $4)) -le "$2" ||
		{ echo "$1: $(($3 / $4)) bytes, above $2"; return 1; }
	echo "$1: at most $2 bytes over the leader's links"
}

run () {
	start_platform 8
	vms=0
	start_vm 0 --processor=0.002
	await_ready 0
	echo "first leader: vm$(leader 0)"
	start_vm 1 --processor=0.01
	start_vm 2 --processor=0.01
	await_ready 1
	await_ready 2
	sleep 2
	vms="0 1 2"
	l=$(leader $vms)
	test "$l" != 0 && echo "a VM with a larger share leads"
	a=$((3 - l))

	load $jobs --seed=21
	served "no faults" 98 $zero_counts
	test "$(metric "$l" agent_calls_total)" -ge 200 &&
		echo "the leader delegates calls"
	test "$(metric "$a" target_calls_total)" -ge 200 &&
		echo "the other VM with a large share makes calls"
	test "$(metric 0 target_calls_total)" -lt 50 &&
		echo "the VM with a small share makes few"

	# Only decisions pass through the leader, for jobs of the other VMs.
	decisions='sent_bytes{kind="order"} sent_bytes{kind="start"}
		sent_bytes{kind="progress"} received_bytes{kind="reply"}
		received_bytes{kind="ack"}'
	answers='received_bytes{kind="submit"} sent_bytes{kind="answer"}'
	before=$(link_bytes "$l" $decisions)
	before_answers=$(link_bytes "$l" $answers)
	starts=$(metric "$l" starts_total)
	jobs_before=$(metric "$l" jobs_total)
	vms="0 $a"
	load --rate=15 --seconds=5 --tasks=4 --ms=150 --seed=26
	served "steady load" 74 $zero_counts
	within "a task" 200 $(($(link_bytes "$l" $decisions) - before)) \
		$(($(metric "$l" starts_total) - starts))
	within "a job" 400 $(($(link_bytes "$l" $answers) - before_answers)) \
		$(($(metric "$l" jobs_total) - jobs_before))
	vms="0 1 2"

	load $jobs --seed=22
	kill -STOP "$(pid_of "$a")"
	sleep 1.5
	kill -CONT "$(pid_of "$a")"
	served "agent paused and resumed" 70 $zero_counts

	load $jobs --seed=23
	kill -KILL "$(pid_of "$a")"
	sleep 1
	start_vm "$a" --processor=0.01
	served "agent killed" 80 $zero_counts
	await_ready "$a"

	kill -TERM "$(pid_of "$a")"
	wait "$(pid_of "$a")" && echo "planned stop of the agent: exit 0"
	start_vm "$a" --processor=0.01
	await_ready "$a"

	load $jobs --seed=24
	kill -KILL "$(pid_of "$l")"
	sleep 1
	start_vm "$l" --processor=0.01
	served "leader killed" 70 $zero_counts
	await_ready "$l"
}

check run
