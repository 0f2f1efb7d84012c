#!/bin/sh
# Runs rosemaryd as a process: settings, exit codes and the planned stop.
set -u
bin=build/san
dir=build/out/daemon
port=20900
mkdir -p $dir
daemon=
target=
trap 'for p in $daemon $target; do kill "$p" 2>/dev/null; done' EXIT

fail () {
	echo "FAILED: $*"
	cat $dir/*.log
	exit 1
}

needed="--vm-name=e1 --address=127.0.0.1:$((port + 1)) --failure-domain=a
	--http-listen=127.0.0.1:$port --platform=127.0.0.1:$((port + 2))"

# expect STATUS ARGS...: runs the daemon and checks its exit status.
expect () {
	want=$1
	shift
	"$bin"/rosemaryd "$@" >$dir/out.log 2>&1
	got=$?
	test $got = "$want" || fail "exit $got, not $want, of rosemaryd $*"
}

# start ARGS...: starts the daemon and waits until it serves callers.
start () {
	: >$dir/d.log
	"$bin"/rosemaryd $needed "$@" 2>$dir/d.log &
	daemon=$!
	n=0
	until grep -q '"serving callers' $dir/d.log
	do
		sleep 0.1
		n=$((n + 1))
		test $n -lt 100 || fail "the daemon did not start"
	done
}

# expect_exit STATUS: waits for the daemon to exit and checks its exit status.
expect_exit () {
	wait $daemon
	got=$?
	daemon=
	test $got = "$1" || fail "exit $got, not $1"
	grep -E 'ERROR: (Address|Leak)Sanitizer|runtime error' $dir/d.log &&
		fail "sanitizer report"
}

# expect_caller_waits: waits until the only caller has submitted its request and
# waits for the result, which are two requests over HTTP beside those made here.
expect_caller_waits () {
	n=0
	until test "$("$bin"/rosemary metrics --entry-vm=127.0.0.1:$port |
		sed -n 's/^rosemaryd_http_requests_total //p')" -ge $((n + 3))
	do
		sleep 0.1
		n=$((n + 1))
		test $n -lt 100 || fail "the caller does not wait"
	done
}

echo "settings"
expect 2
test "$(grep -c 'must be given' $dir/out.log)" = 5 || fail "not all errors were reported"
expect 0 $needed --check
expect 2 $needed --check --queue=none-such
expect 2 $needed --check --http-threads=many
ROSEMARY_HTTP_THREADS=0 expect 2 $needed --check
ROSEMARY_HTTP_THREDS=1 expect 0 $needed --check
grep -q 'ROSEMARY_HTTP_THREDS is no known setting' $dir/out.log ||
	fail "no warning about an unknown variable"
expect 0 --help
tr -d '\n ' <$dir/out.log >$dir/help.log
grep -q ROSEMARY_PEER_QUEUE $dir/help.log || fail "the help does not name a variable"

echo "an address in use"
start
expect 3 $needed
kill -TERM $daemon
expect_exit 0

echo "a planned stop without work"
start
kill -INT $daemon
expect_exit 0

echo "a planned stop lets work finish"
"$bin"/rosemary-fake-target --listen=127.0.0.1:$((port + 10)) --count=1 \
	--service-ms=1500 --spread=0 2>$dir/target.log &
target=$!
start --target=t1=127.0.0.1:$((port + 10)),a,desk,slots=4
"$bin"/rosemary request --entry-vm=127.0.0.1:$port --service=desk \
	--team=board --timeout=8000 x >$dir/answer.log 2>&1 &
caller=$!
expect_caller_waits
kill -TERM $daemon
wait $caller || fail "the caller got no result"
expect_exit 0
cat $dir/answer.log

echo "a second signal stops at once and answers that the job is running"
start --target=t1=127.0.0.1:$((port + 10)),a,desk,slots=4
"$bin"/rosemary request --entry-vm=127.0.0.1:$port --service=desk \
	--team=board --timeout=8000 x >$dir/answer.log 2>&1 &
caller=$!
expect_caller_waits
kill -TERM $daemon
sleep 0.2
kill -TERM $daemon
wait $caller && fail "the caller got a result that does not exist"
expect_exit 4
grep -q 'draining' $dir/answer.log || fail "the answer does not name the stop"
grep -E 'complete|failed|not_run' $dir/answer.log &&
	fail "the answer gives an outcome that is not known"
echo "log lines are JSON"
grep -v '^{"time_ms":[0-9]*,"level":"[a-z]*","vm":"e1",.*}$' $dir/d.log &&
	fail "a line is not JSON"
exit 0
