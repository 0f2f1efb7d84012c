# Shell functions for tests of a pool: they start the stand-in platform, entry
# VMs and callers. Sourced from the root of the tree. Sets $dir, a temporary
# directory, and $port, the first of 200 ports, which depends on the path of the
# tree. BIN is the directory of the programs.

set -eu
name=$(basename "$0" .sh)
bin=${BIN:-build/san}
test -x "$bin/rosemary-poold" || bin=build
dir=$(mktemp -d)
pids=
tree=$(pwd | cksum)
# Below the range of ephemeral ports of the kernel.
port=$((10200 + ${tree%% *} % 40 * 200))

finish () {
	for p in $pids
	do
		kill -CONT "$p" 2>/dev/null || :
		kill -KILL "$p" 2>/dev/null || :
	done
	for p in $pids
	do
		wait "$p" 2>/dev/null || :
	done
	rm -rf "$dir"
}

# keep_logs: copies the logs of the processes and the output to build/out.
keep_logs () {
	rm -rf build/out/"$name"
	mkdir -p build/out/"$name"
	cp "$dir"/*.log "$dir"/out build/out/"$name"/ 2>/dev/null || :
}

# interrupted: shows how far the test has come, as check does not any more.
interrupted () {
	keep_logs
	echo "interrupted; the output until then:" >&3
	cat "$dir"/out >&3 || :
	exit 1
}
exec 3>&1
trap finish EXIT
trap interrupted INT TERM

# call [FLAG...] METHOD ADDRESS PATH [BODY]: makes an HTTP request and prints
# the body of the answer.
call () {
	"$bin/rosemary-fake-call" -w 5000 "$@" || :
}

# pick NAME: prints a member of the JSON object on standard input.
pick () {
	"$bin/rosemary-fake-call" --stdin --field "$@"
}

# control PATH BODY: makes a request to the stand-in at /control.
control () {
	call POST 127.0.0.1:$port /control/"$1" "$2"
}

# counts: prints the counters of the stand-in as JSON.
counts () {
	call GET 127.0.0.1:$port /control/counts
}

# http_of N: prints the address of entry VM N for callers.
http_of () {
	echo "127.0.0.1:$((port + 100 + $1))"
}

# start_platform TARGETS: starts the stand-in.
start_platform () {
	"$bin"/regress/standin/platform --listen=127.0.0.1:$port \
		--targets="$1" >"$dir"/platform.log 2>&1 &
	pids="$pids $!"
	counts >/dev/null
}

# start_vm N [FLAG...]: starts entry VM N and sets vm_N to its pid.
start_vm () {
	n=$1
	shift
	"$bin"/rosemary-poold --vm-name=vm$n --failure-domain=z \
		--listen="$(http_of $n)" \
		--ready-listen=127.0.0.1:$((port + 120 + n)) \
		--metrics-listen=127.0.0.1:$((port + 140 + n)) \
		--link=127.0.0.1:$((port + 160 + n)) \
		--store=127.0.0.1:$port "$@" >>"$dir"/vm$n.log 2>&1 &
	eval "vm_$n=\$!"
	pids="$pids $!"
}

# pid_of N: prints the pid of entry VM N.
pid_of () {
	eval "echo \$vm_$1"
}

# await_ready N: waits until entry VM N is ready for callers.
await_ready () {
	tries=0
	while test "$(call --status GET 127.0.0.1:$((port + 120 + $1)) \
		/api/readiness)" != 200
	do
		tries=$((tries + 1))
		test $tries -lt 200 || { echo "vm$1 is not ready"; return 1; }
		sleep 0.05
	done
}

# start_pool VMS TARGETS: starts the stand-in and entry VMs, and waits until all
# are ready.
start_pool () {
	start_platform "$2"
	i=0
	while test $i -lt "$1"
	do
		start_vm $i
		i=$((i + 1))
	done
	i=0
	while test $i -lt "$1"
	do
		await_ready $i
		i=$((i + 1))
	done
}

# leader N...: prints which of the entry VMs is the leader by its metrics.
leader () {
	for v in "$@"
	do
		if call GET 127.0.0.1:$((port + 140 + v)) /metrics |
			grep -q '^rosemary_pool_leading 1'
		then
			echo "$v"
			return 0
		fi
	done
	echo none
}

# callers FLAG...: submits jobs to the entry VMs listed in $vms.
callers () {
	addresses=
	for v in $vms
	do
		addresses="$addresses $(http_of $v)"
	done
	"$bin"/regress/standin/callers "$@" $addresses
}

# timed WHAT MIN_MS MAX_MS COMMAND: prints the command's output, and whether it
# took as long.
timed () {
	what=$1 min=$2 max=$3
	shift 3
	begin=$(date +%s%N)
	out=$("$@")
	took=$((($(date +%s%N) - begin) / 1000000))
	when="in time"
	if test $took -lt "$min" || test $took -gt "$max"
	then
		when="after $took ms"
	fi
	echo "$what: $out $when"
}

# expect_no_violation: fails if the stand-in saw a violation.
expect_no_violation () {
	seen=$(counts)
	if test "$(echo "$seen" | pick violations)" != 0
	then
		echo "violation: $seen"
		return 1
	fi
}

# at_least NAME N JSON: fails if the member of the JSON object is below N.
at_least () {
	n=$(echo "$3" | pick "$1")
	test "$n" -ge "$2" || { echo "$1 is $n, below $2: $3"; return 1; }
}

# at_most NAME N JSON: fails if the member of the JSON object is above N.
at_most () {
	n=$(echo "$3" | pick "$1")
	test "$n" -le "$2" || { echo "$1 is $n, above $2: $3"; return 1; }
}

# load FLAG...: starts callers in the background and waits until they are under
# way. Their report goes to $dir/load.
load () {
	callers "$@" >"$dir"/load &
	load_pid=$!
	sleep 1.5
}

# served NAME MIN FIELD...: waits for the callers of load. Fails if fewer than
# MIN jobs were completed, if a field of the report is not 0, or if the stand-in
# saw a violation.
served () {
	wait "$load_pid"
	out=$(cat "$dir"/load)
	what=$1
	at_least completed "$2" "$out"
	shift 2
	for field in "$@"
	do
		at_most "$field" 0 "$out"
	done
	expect_no_violation
	echo "$what: passed"
}

# check COMMAND: compares the output of a command with the file of the test in
# regress/expect. Copies the logs to build/out if they differ.
check () {
	"$@" >"$dir"/out 2>&1 || echo "exit $?" >>"$dir"/out
	if ! diff -u regress/expect/"$name" "$dir"/out
	then
		keep_logs
		return 1
	fi
}
