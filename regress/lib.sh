# Functions for scripted tests with expected output. A script sources this
# file from the root of the tree and ends with: check COMMAND

set -eu
name=$(basename "$0" .sh)
dir=$(mktemp -d)
. ./regress/deploy.sh
test -x "$bin/rosemary" || bin=build

# finish: kills all processes and removes the temporary files. Uses SIGKILL,
# since on SIGTERM the last entry VMs would wait for a successor.
finish () {
	for p in $pids
	do
		kill -KILL "$p" 2>/dev/null || :
	done
	for p in $pids
	do
		wait "$p" 2>/dev/null || :
	done
	rm -rf "$dir"
}
trap finish EXIT
trap 'exit 1' INT TERM

# call ARGS...: makes an HTTP call; a failure does not end the script.
call () {
	"$bin/rosemary-fake-call" -w 5000 "$@" || :
}

# pick PATH [FLAG]: prints one field of the JSON on standard input.
pick () {
	"$bin/rosemary-fake-call" --stdin --field "$@"
}

# until_is WANT COMMAND...: repeats the command until it prints WANT, for
# about 10 s at most.
until_is () {
	want=$1
	shift
	tries=0
	while test "$("$@" 2>/dev/null)" != "$want"
	do
		tries=$((tries + 1))
		if test $tries -gt 100
		then
			echo "timed out: $* is not $want"
			return 1
		fi
		sleep 0.1
	done
}

# target_of N: the address of the Nth target, counted from 0.
target_of () {
	echo "127.0.0.1:$((port + 100 + $1))"
}

# start_all VMS TARGETS [FLAG...]: starts the platform, the targets, with the
# flags, and the entry VMs. Waits until all entry VMs are ready for callers.
start_all () {
	nvms=$1
	ntargets=$2
	shift 2
	write_vms "$nvms" "$ntargets" 8 >"$dir/vms.json"
	start_platform
	start_targets "$ntargets" 8 "$@"
	call GET "127.0.0.1:$port" /v1/control/counts >/dev/null
	ROSEMARY_ENTRY_VMS=
	n=0
	while test $n -lt "$nvms"
	do
		start_vm $n --list-poll=200 --table-poll=200
		n=$((n + 1))
	done
	n=0
	while test $n -lt "$nvms"
	do
		await_ready $n
		ROSEMARY_ENTRY_VMS="$ROSEMARY_ENTRY_VMS $(http_of $n)"
		n=$((n + 1))
	done
	export ROSEMARY_ENTRY_VMS
}

# count_starts: prints the number of starts at all targets of start_all.
count_starts () {
	sum=0
	t=0
	while test $t -lt "$ntargets"
	do
		sum=$((sum + $(call -f starts GET "$(target_of $t)" \
			/v1/control/counts)))
		t=$((t + 1))
	done
	echo $sum
}

# check COMMAND: compares the output of the command with regress/expect/NAME;
# UPDATE=1 writes the file anew.
check () {
	"$@" >"$dir/out" 2>&1 || echo "exit $?" >>"$dir/out"
	if test "${UPDATE:-}" = 1
	then
		cp "$dir/out" "regress/expect/$name"
	fi
	diff -u "regress/expect/$name" "$dir/out"
}
