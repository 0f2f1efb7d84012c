#!/bin/sh
# Demonstrates the system on loopback: a job on targets of different speeds,
# its key resubmitted to another entry VM, an edit of the table, and a planned
# stop. Prints each step and check; fails when a check fails.
set -eu
cd "$(dirname "$0")/.."
./regress/packages.sh
make -s -j4 all
BIN=build
. regress/lib.sh

ntargets=6
speeds=4,2,1,1,0.5,0.25
failed=0

# expect TEXT COMMAND...: checks that the command succeeds.
expect () {
	text=$1
	shift
	if "$@"
	then
		echo "  ok: $text"
	else
		echo "  FAILED: $text"
		failed=1
	fi
}
rosemary () {
	"$bin/rosemary" "$@" 2>>"$dir/err" || :
}
# starts_of N: prints the number of starts at target N.
starts_of () {
	call -f starts GET "$(target_of "$1")" /v1/control/counts
}
# show_starts: prints the number of starts at each target.
show_starts () {
	i=0
	for speed in $(echo $speeds | tr ',' ' ')
	do
		echo "    t$i, speed $speed: $(starts_of $i) starts"
		i=$((i + 1))
	done
}
# now: prints the time in ms.
now () {
	date +%s%3N
}
# state_of FILE: prints the state of the answer in the file.
state_of () {
	pick state <"$1"
}
# results_of FILE: prints the number of results of the answer in the file.
results_of () {
	pick results --length <"$1"
}
echo "Starting the platform, $ntargets targets and two entry VMs."
start_all 2 $ntargets --speed $speeds
vm0=$(http_of 0)
vm1=$(http_of 1)

echo "A job of 390 tasks of 50 ms, sent to vm0:"
begin=$(now)
rosemary submit --service deadline-desk --tasks 390 --payload '{"ms":50}' \
	--json -e "$vm0" >"$dir/first"
echo "  answered after $(($(now) - begin)) ms"
show_starts
expect 'the answer is complete' test "$(state_of "$dir/first")" = complete
expect 'it has all 390 results' test "$(results_of "$dir/first")" = 390
expect 'each task was started once' \
	test "$(count_starts)" = 390

echo "The same key, resubmitted at vm1:"
key=$(pick key <"$dir/first")
rosemary submit --service deadline-desk --tasks 390 --payload '{"ms":50}' \
	--json --issued-key "$key" -e "$vm1" >"$dir/second"
pick results <"$dir/first" >"$dir/results1"
pick results <"$dir/second" >"$dir/results2"
expect 'the answer is the same, byte for byte' \
	cmp -s "$dir/results1" "$dir/results2"
expect 'no target started a task again' \
	test "$(count_starts)" = 390

echo "An edit of the table: t5, the slowest target, gets weight 0:"
begin=$(now)
code=0
"$bin/rosemary" edit-table --yes deadline-desk/t5 weight=0 \
	>"$dir/edit" 2>&1 || code=$?
sed 's/^/    /' "$dir/edit"
expect 'it is in force at both entry VMs' test $code = 0
echo "  in force everywhere after $(($(now) - begin)) ms"
"$bin/rosemary" show-table 2>&1 | sed 's/^/    /'
before=$(starts_of 5)
rosemary submit --service deadline-desk --tasks 100 --payload '{"ms":50}' \
	--json -e "$vm1" >"$dir/third"
expect 'a job of 100 tasks is complete' \
	test "$(state_of "$dir/third")" = complete
expect 't5 got none of them' test "$(starts_of 5)" = "$before"

echo "A planned stop of vm0 while it runs a job of 100 tasks of 300 ms:"
"$bin/rosemary" submit --service deadline-desk --tasks 100 \
	--payload '{"ms":300}' --json -e "$vm0" >"$dir/fourth" \
	2>>"$dir/err" &
job=$!
before=$(count_starts)
tries=0
while test "$(count_starts)" = "$before" && test $tries -lt 100
do
	tries=$((tries + 1))
	sleep 0.02
done
begin=$(now)
"$bin/rosemary" drain -e "$vm0" >"$dir/drain" 2>&1 || :
expect 'vm0 accepts the drain request' grep -q draining "$dir/drain"
wait $job || :
expect 'the running job is complete' \
	test "$(state_of "$dir/fourth")" = complete
expect 'it has all 100 results' test "$(results_of "$dir/fourth")" = 100
code=0
wait "$(pid_of 0)" || code=$?
echo "  vm0 ended with status $code, $(($(now) - begin)) ms after the request"
expect 'vm0 ended by itself, without an error' test $code = 0
rosemary submit --service deadline-desk --tasks 10 --payload '{"ms":50}' \
	--json -e "$vm0" -e "$vm1" >"$dir/fifth"
expect 'vm1 serves callers instead' test "$(state_of "$dir/fifth")" = complete

echo "Totals:"
expect "$((390 + 100 + 100 + 10)) tasks, as many starts" \
	test "$(count_starts)" = 600
doubles=0
i=0
while test $i -lt $ntargets
do
	n=$(call -f double_starts GET "$(target_of $i)" /v1/control/counts)
	doubles=$((doubles + n))
	i=$((i + 1))
done
expect 'no task was started twice' test $doubles = 0
rosemary events -e "$vm0" -e "$vm1" --from -60 >"$dir/events"
expect 'the event list names the entry VM that has stopped' \
	grep -q "entry VM $vm0 gave no answer" "$dir/events"

running=$pids
finish
trap - EXIT
for p in $running
do
	expect "process $p has ended" eval "! kill -0 $p 2>/dev/null"
done
test $failed = 0 || exit 1
echo "All checks passed."
