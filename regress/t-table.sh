#!/bin/sh
# The operator's table with real processes: edits, drafts, conflicts, concurrent
# edits, a lost answer, an outage, and an entry VM that does not run.
. regress/lib.sh
port=$((22000 + $(pwd | cksum | cut -d' ' -f1) % 5 * 200))

# Replaces addresses by vm0.. and everything else that differs between runs.
normalize () {
	sed -e "s/127.0.0.1:$((port + 50))/vm0/g" \
		-e "s/127.0.0.1:$((port + 51))/vm1/g" \
		-e "s/127.0.0.1:$((port + 52))/vm2/g" \
		-e 's/last reached [0-9]* ms/last reached N ms/' \
		-e 's/\b6[12]\b/6x/g' \
		-e 's/--edit-id=.*/--edit-id=ID/' \
		-e 's/^vm2  *- .*/vm2 - no answer/'
}

# run_op ARGS...: runs a command and prints it, its output and its exit code.
run_op () {
	echo "\$ $*"
	status=0
	"$bin"/rosemary "$@" </dev/null >"$dir/op" 2>&1 || status=$?
	normalize <"$dir/op"
	test $status = 0 || echo "exit $status"
}

# race NAME WEIGHT: one of two concurrent edits of the same cell.
race () {
	status=0
	"$bin"/rosemary edit-table deadline-desk/t1 weight="$2" \
		--base-version=3 >"$dir/race.$1" 2>&1 || status=$?
	echo "exit $status" >>"$dir/race.$1"
}

# Prints the name of the first draft.
first_draft () {
	call GET "$(http_of 1)" /v1/table | pick drafts.0.name
}

run () {
	echo '# accepted, and in force everywhere'
	run_op edit-table deadline-desk/t0 weight=50 limit=4 \
		team/field weight=30 quota=5
	run_op show-table
	echo '# an old base version: another cell is merged, the same one conflicts'
	run_op edit-table deadline-desk/t1 limit=2 --base-version=0
	run_op edit-table deadline-desk/t0 weight=20 --base-version=0
	echo '# a draft is found at any entry VM, and is not in force'
	run_op edit-table --draft=monday deadline-desk/t2 weight=10
	until_is monday first_draft
	run_op show-table
	run_op edit-table --commit-draft=monday
	run_op edit-table --commit-draft=none
	echo '# two concurrent edits: one is accepted, one gets the conflict'
	race a 61 &
	first=$!
	race b 62 &
	wait $first $!
	cat "$dir/race.a" "$dir/race.b" | grep -c '^accepted as version 4'
	cat "$dir/race.a" "$dir/race.b" | grep -c '^conflict: deadline-desk/t1'
	cat "$dir/race.a" "$dir/race.b" | grep exit | sort
	echo '# the answer is lost after the change took effect'
	control '{"lose_answers":2}'
	run_op edit-table deadline-desk/t0 limit=6
	control '{"lose_answers":0}'
	echo '# the platform is not reachable'
	control '{"outage":true}'
	run_op edit-table deadline-desk/t0 limit=7
	control '{"outage":false}'
	echo '# values are checked, and stopping a service needs confirmation'
	run_op edit-table 'deadline-desk/*' limit=0 deadline-desk/t0 limit=0 \
		deadline-desk/t1 limit=0
	run_op edit-table deadline-desk/t0 weight=10001
	run_op edit-table deadline-desk/t0
	echo '# an entry VM that does not run is reported'
	kill -KILL "$vm_2"
	run_op edit-table deadline-desk/t0 limit=8 --wait=1000
	run_op show-table
}

start_all 3 4
check run
