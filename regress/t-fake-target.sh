#!/bin/sh
# Tests the target stand-in: starts, slots, lookups, voids and all faults.
. regress/lib.sh

address=$(target_of 0)
start_targets 2 1 --speed=1,0.5

# set_target JSON: changes settings and faults of the first target.
set_target () {
	call POST "$address" /v1/control "$1" >/dev/null
}
# start_task ID PAYLOAD: starts a task in the background, sets task_pid to the
# process of the call and waits until the task runs.
start_task () {
	"$bin/rosemary-fake-call" -s POST "$address" "/v1/tasks/$1" "$2" \
		>"$dir/$1" 2>&1 &
	task_pid=$!
	until_is running call -h X-Task-State GET "$address" "/v1/tasks/$1"
}
# state METHOD ID: prints the state of a task that GET or DELETE returns.
state () {
	call -h X-Task-State "$1" "$address" "/v1/tasks/$2"
}

run () {
	echo '# a task runs once; its result names it'
	call -f task POST "$address" /v1/tasks/a '{"ms":5,"task":"job/1"}'
	call -s POST "$address" /v1/tasks/a '{}'
	state GET a
	call -s GET "$address" /v1/tasks/none
	echo '# the second target is half as fast'
	call -f ms POST "$(target_of 1)" /v1/tasks/a '{"ms":5}'
	echo '# busy when all slots are taken; stop'
	start_task slow '{"ms":60000}'
	call -s POST "$address" /v1/tasks/b '{}'
	state DELETE slow
	state DELETE slow?stop=1
	wait $task_pid
	cat "$dir/slow"
	echo '# a voided id never starts'
	state DELETE v
	call -s POST "$address" /v1/tasks/v '{}'
	state GET v
	echo '# leaving, failing, leases'
	set_target '{"leaving":true}'
	call -s POST "$address" /v1/tasks/c '{}'
	set_target '{"leaving":false,"fail_all":true}'
	call -s POST "$address" /v1/tasks/c '{}'
	state GET c
	set_target '{"fail_all":false,"lease_ms":20}'
	call -s POST "$address" /v1/tasks/d '{"ms":60000}'
	echo '# a hung task ends when the fault is cleared'
	set_target '{"lease_ms":0,"hang":true}'
	start_task e '{}'
	set_target '{"hang":false}'
	wait $task_pid
	cat "$dir/e"
	echo '# a silent connection gets no answer; a new one does'
	start_task f '{"ms":1500}'
	set_target '{"silent":true}'
	until_is done call -h X-Task-State GET "$address" /v1/tasks/f
	kill -0 $task_pid && echo 'no answer on the old connection'
	kill $task_pid
	wait $task_pid 2>/dev/null || :
	call -s POST "$address" /v1/tasks/g '{}'
	echo '# a connection over the limit is closed'
	set_target '{"slots":2}'
	start_task p '{"ms":2000}'
	first_pid=$task_pid
	start_task q '{"ms":2000}'
	set_target '{"connections":2}'
	"$bin/rosemary-fake-call" GET "$address" /v1/control/counts 2>/dev/null ||
		echo "no answer: exit $?"
	wait "$first_pid" "$task_pid"
	until_is 200 call -s GET "$address" /v1/control/counts
	set_target '{"connections":64}'
	echo '# no lookup, no void'
	set_target '{"lookup":false,"void":false}'
	call -s GET "$address" /v1/tasks/a
	call -s DELETE "$address" /v1/tasks/w
	echo '# down'
	set_target '{"down":true}'
	"$bin/rosemary-fake-call" POST "$address" /v1/tasks/h '{}' 2>/dev/null ||
		echo "no answer: exit $?"
	echo '# the record'
	call GET "$address" /v1/control/record | tr -d '\n' |
		"$bin/rosemary-fake-call" --stdin --field starts |
		sed 's/"[a-z]*_ms":[0-9]*/T/g; s/},/},\n/g'
	call GET "$address" /v1/control/counts |
		sed 's/,"lookups".*//'
}

check run
