#!/bin/sh
# Runs all tests and prints "N passed, N failed". Failures of tests listed in
# KNOWN-RED.txt are printed but do not fail the run.
set -u
cd "$(dirname "$0")/.."
./regress/packages.sh || exit 1
jobs=$(nproc)
san="-fsanitize=address,undefined -fno-sanitize-recover=undefined"
make -s -j"$jobs" B=build/san OPT="-O1 -g" SAN="$san" all tests || exit 1
make -s -j"$jobs" B=build/tsan OPT="-O1 -g" SAN=-fsanitize=thread all || exit 1
make -s -j"$jobs" all || exit 1

passed=0
failed=0
known=0

# count_result NAME STATUS: counts a test program or script as one test and
# prints its log if it failed.
count_result () {
	if test "$2" = 0
	then
		passed=$((passed + 1))
	elif grep -q "^test: $1\$" KNOWN-RED.txt 2>/dev/null
	then
		known=$((known + 1))
		echo "known red: $1"
	else
		failed=$((failed + 1))
		echo "FAILED: $1"
		cat "build/out/$1.log"
	fi
}

mkdir -p build/out
for t in regress/*.c
do
	name=$(basename "$t" .c)
	build/san/regress/"$name" -j4 >build/out/"$name".log 2>&1
	status=$?
	line=$(grep 'Synthesis: Tested:' build/out/"$name".log)
	npassing=$(echo "$line" | sed 's/.*Passing: \([0-9]*\).*/\1/')
	# Criterion does not report a leak that LeakSanitizer finds when the
	# process of a test exits, so look for it in the log.
	if test $status = 0 && test -n "$npassing" && test "$npassing" -gt 0 &&
		! grep -q 'ERROR: LeakSanitizer' build/out/"$name".log
	then
		passed=$((passed + npassing))
	else
		count_result "$name" 1
	fi
done
for t in regress/*.cc
do
	test -f "$t" || continue
	name=$(basename "$t" .cc)
	RC_PARAMS="seed=7" build/san/regress/"$name" \
		>build/out/"$name".log 2>&1
	count_result "$name" $?
done
for t in regress/t-*.sh
do
	test -f "$t" || continue
	name=$(basename "$t" .sh)
	# The scripts use fixed ports, so only one may run on this machine.
	flock -w 300 -E 75 /tmp/rosemary-regress.lock \
		timeout -k 5 120 sh "$t" >build/out/"$name".log 2>&1
	status=$?
	case $status in
	75) echo "not run: others held the lock for 300 s" ;;
	124 | 137) echo "not at its end after 120 s" ;;
	esac >>build/out/"$name".log
	count_result "$name" $status
done
test $known = 0 || echo "$known known red, see KNOWN-RED.txt"
echo "$passed passed, $failed failed"
test $failed = 0
