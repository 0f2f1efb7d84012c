#!/bin/sh
# The target stand-in: starts, slots, lookups, voids and every fault.
. regress/lib.sh

at=$(target_of 0)
start_targets 2 1 --speed=1,0.5

knob () {
	call POST "$at" /v1/control "$1" >/dev/null
}
# Starts a task in the background and waits until it runs.
begin () {
	"$bin/rosemary-fake-call" -s POST "$at" "/v1/tasks/$1" "$2" \
		>"$dir/$1" 2>&1 &
	begun=$!
	until_is running call -h X-Task-State GET "$at" "/v1/tasks/$1"
}
state () {
	call -h X-Task-State "$1" "$at" "/v1/tasks/$2"
}

run () {
	echo '# a task runs once; its result names it'
	call -f task POST "$at" /v1/tasks/a '{"ms":5,"task":"job/1"}'
	call -s POST "$at" /v1/tasks/a '{}'
	state GET a
	call -s GET "$at" /v1/tasks/none
	echo '# the second target is half as fast'
	call -f ms POST "$(target_of 1)" /v1/tasks/a '{"ms":5}'
	echo '# busy when all slots are taken; stop'
	begin slow '{"ms":60000}'
	call -s POST "$at" /v1/tasks/b '{}'
	state DELETE slow
	state DELETE slow?stop=1
	wait $begun
	cat "$dir/slow"
	echo '# a voided id never starts'
	state DELETE v
	call -s POST "$at" /v1/tasks/v '{}'
	state GET v
	echo '# leaving, failing, leases'
	knob '{"leaving":true}'
	call -s POST "$at" /v1/tasks/c '{}'
	knob '{"leaving":false,"fail_all":true}'
	call -s POST "$at" /v1/tasks/c '{}'
	state GET c
	knob '{"fail_all":false,"lease_ms":20}'
	call -s POST "$at" /v1/tasks/d '{"ms":60000}'
	echo '# hanging'
	knob '{"lease_ms":0,"hang":true}'
	begin e '{}'
	knob '{"hang":false}'
	wait $begun
	cat "$dir/e"
	echo '# a silent connection keeps quiet; new ones work'
	begin f '{"ms":200}'
	knob '{"silent":true}'
	until_is done call -h X-Task-State GET "$at" /v1/tasks/f
	kill -0 $begun && echo 'no answer on the old connection'
	kill $begun
	wait $begun 2>/dev/null || :
	call -s POST "$at" /v1/tasks/g '{}'
	echo '# a connection too many is closed'
	knob '{"slots":2}'
	begin p '{"ms":2000}'
	first=$begun
	begin q '{"ms":2000}'
	knob '{"connections":2}'
	"$bin/rosemary-fake-call" GET "$at" /v1/control/counts 2>/dev/null ||
		echo "no answer: exit $?"
	wait "$first" "$begun"
	until_is 200 call -s GET "$at" /v1/control/counts
	knob '{"connections":64}'
	echo '# no lookup, no void'
	knob '{"lookup":false,"void":false}'
	call -s GET "$at" /v1/tasks/a
	call -s DELETE "$at" /v1/tasks/w
	echo '# down'
	knob '{"down":true}'
	"$bin/rosemary-fake-call" POST "$at" /v1/tasks/h '{}' 2>/dev/null ||
		echo "no answer: exit $?"
	echo '# the record'
	call GET "$at" /v1/control/record | tr -d '\n' |
		"$bin/rosemary-fake-call" --stdin --field starts |
		sed 's/"[a-z]*_ms":[0-9]*/T/g; s/},/},\n/g'
	call GET "$at" /v1/control/counts |
		sed 's/,"lookups".*//'
}

check run
