#!/bin/sh
# The whole path on loopback: a job over targets of very different speed, the
# same key resubmitted elsewhere, an edit of the table, a planned stop. Prints
# what happens; fails when anything is not as promised.
set -eu
cd "$(dirname "$0")/.."
./regress/packages.sh
make -s -j4 all
BIN=build
. regress/lib.sh

ntargets=6
speeds=4,2,1,1,0.5,0.25
broken=0

# promise TEXT COMMAND...: tells whether the command succeeds.
promise () {
	text=$1
	shift
	if "$@"
	then
		echo "  kept: $text"
	else
		echo "  BROKEN: $text"
		broken=1
	fi
}
rosemary () {
	"$bin/rosemary" "$@" 2>>"$dir/err" || :
}
starts_of () {
	call -f starts GET "$(target_of "$1")" /v1/control/counts
}
show_starts () {
	i=0
	for speed in $(echo $speeds | tr ',' ' ')
	do
		echo "    t$i, speed $speed: $(starts_of $i) starts"
		i=$((i + 1))
	done
}
# now: milliseconds
now () {
	date +%s%3N
}
state_of () {
	pick state <"$1"
}
results_of () {
	pick results --length <"$1"
}
echo "Starting the platform, $ntargets targets and two entry VMs."
start_all 2 $ntargets --speed $speeds
vm0=$(http_of 0)
vm1=$(http_of 1)

echo "A job of 390 tasks of 50 ms, sent to vm0:"
began=$(now)
rosemary submit --service deadline-desk --tasks 390 --payload '{"ms":50}' \
	--json -e "$vm0" >"$dir/first"
echo "  answered after $(($(now) - began)) ms"
show_starts
promise 'the answer is complete' test "$(state_of "$dir/first")" = complete
promise 'it has all 390 results' test "$(results_of "$dir/first")" = 390
promise 'each task was started once' \
	test "$(count_starts)" = 390

echo "The same key, resubmitted at vm1:"
key=$(pick key <"$dir/first")
rosemary submit --service deadline-desk --tasks 390 --payload '{"ms":50}' \
	--json --issued-key "$key" -e "$vm1" >"$dir/second"
pick results <"$dir/first" >"$dir/results1"
pick results <"$dir/second" >"$dir/results2"
promise 'the answer is the same, byte for byte' \
	cmp -s "$dir/results1" "$dir/results2"
promise 'no target started anything again' \
	test "$(count_starts)" = 390

echo "An edit of the table: t5, the slowest target, gets weight 0:"
began=$(now)
code=0
"$bin/rosemary" edit-table --yes deadline-desk/t5 weight=0 \
	>"$dir/edit" 2>&1 || code=$?
sed 's/^/    /' "$dir/edit"
promise 'it is in force at both entry VMs' test $code = 0
echo "  in force everywhere after $(($(now) - began)) ms"
"$bin/rosemary" show-table 2>&1 | sed 's/^/    /'
before=$(starts_of 5)
rosemary submit --service deadline-desk --tasks 100 --payload '{"ms":50}' \
	--json -e "$vm1" >"$dir/third"
promise 'a job of 100 tasks is complete' \
	test "$(state_of "$dir/third")" = complete
promise 't5 got none of them' test "$(starts_of 5)" = "$before"

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
began=$(now)
"$bin/rosemary" drain -e "$vm0" >"$dir/drain" 2>&1 || :
promise 'vm0 takes the order' grep -q draining "$dir/drain"
wait $job || :
promise 'the job under way is complete' \
	test "$(state_of "$dir/fourth")" = complete
promise 'it has all 100 results' test "$(results_of "$dir/fourth")" = 100
code=0
wait "$(pid_of 0)" || code=$?
echo "  vm0 ended with status $code, $(($(now) - began)) ms after the order"
promise 'vm0 ended by itself, without an error' test $code = 0
rosemary submit --service deadline-desk --tasks 10 --payload '{"ms":50}' \
	--json -e "$vm0" -e "$vm1" >"$dir/fifth"
promise 'callers go on at vm1' test "$(state_of "$dir/fifth")" = complete

echo "In the end:"
promise "$((390 + 100 + 100 + 10)) tasks, as many starts" \
	test "$(count_starts)" = 600
doubles=0
i=0
while test $i -lt $ntargets
do
	n=$(call -f double_starts GET "$(target_of $i)" /v1/control/counts)
	doubles=$((doubles + n))
	i=$((i + 1))
done
promise 'no task was started twice' test $doubles = 0
rosemary events -e "$vm0" -e "$vm1" --from -60 >"$dir/events"
promise 'the time line names the entry VM that has stopped' \
	grep -q "entry VM $vm0 gave no answer" "$dir/events"

running=$pids
finish
trap - EXIT
for p in $running
do
	promise "process $p has ended" eval "! kill -0 $p 2>/dev/null"
done
test $broken = 0 || exit 1
echo "All promises were kept."
