# Shell functions for scripted runs of a pool: the stand-in platform, entry
# VMs, callers. Sourced from the root of the tree; sets $dir and $port.

set -eu
name=$(basename "$0" .sh)
bin=${BIN:-build/san}
test -x "$bin/rosemary-poold" || bin=build
dir=$(mktemp -d)
pids=
tree=$(pwd | cksum)
# Below the ports that the kernel gives to outgoing connections.
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
trap finish EXIT
trap 'exit 1' INT TERM

call () {
	"$bin/rosemary-fake-call" -w 5000 "$@" || :
}

pick () {
	"$bin/rosemary-fake-call" --stdin --field "$@"
}

control () {
	call POST 127.0.0.1:$port /control/"$1" "$2"
}

counts () {
	call GET 127.0.0.1:$port /control/counts
}

http_of () {
	echo "127.0.0.1:$((port + 100 + $1))"
}

start_platform () {
	"$bin"/regress/standin/platform --listen=127.0.0.1:$port \
		--targets="$1" >"$dir"/platform.log 2>&1 &
	pids="$pids $!"
	counts >/dev/null
}

# start_vm N [FLAG...]: starts entry VM N; its pid goes to vm_N.
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

pid_of () {
	eval "echo \$vm_$1"
}

# await_ready N: waits until entry VM N takes callers.
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

# start_pool VMS TARGETS
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

# leader: the number of the entry VM that leads by its metrics.
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

# callers FLAG...: jobs to all entry VMs named in $vms.
callers () {
	addresses=
	for v in $vms
	do
		addresses="$addresses $(http_of $v)"
	done
	"$bin"/regress/standin/callers "$@" $addresses
}

# expect_kept: the targets saw nothing that must not happen.
expect_kept () {
	seen=$(counts)
	if test "$(echo "$seen" | pick violations)" != 0
	then
		echo "violated: $seen"
		return 1
	fi
}

# at_least NAME N JSON: the number of the name in the JSON is N or more.
at_least () {
	n=$(echo "$3" | pick "$1")
	test "$n" -ge "$2" || { echo "$1 is $n, not $2: $3"; return 1; }
}

# at_most NAME N JSON
at_most () {
	n=$(echo "$3" | pick "$1")
	test "$n" -le "$2" || { echo "$1 is $n, over $2: $3"; return 1; }
}

# load FLAG...: callers in the background, their outcomes in $dir/load.
load () {
	callers "$@" >"$dir"/load &
	load_pid=$!
	sleep 1.5
}

# served NAME LEAST FIELD...: the load has ended; so many jobs were completed,
# and none of the fields counts any.
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
	expect_kept
	echo "$what: kept"
}

# check COMMAND: its output is as regress/expect has it.
check () {
	"$@" >"$dir"/out 2>&1 || echo "exit $?" >>"$dir"/out
	if ! diff -u regress/expect/"$name" "$dir"/out
	then
		mkdir -p build/out/"$name"
		cp "$dir"/*.log build/out/"$name"/ 2>/dev/null || :
		return 1
	fi
}
