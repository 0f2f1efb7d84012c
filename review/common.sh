# Sourced by the scripts of the cases, from the root of the tree. Starts the
# stand-in of the platform and entry VMs with the command of the deploy file, on
# loopback addresses and free ports. Sets $dir, a temporary folder. $out is the
# record.

set -u

TROUBLE=${TROUBLE:-1}
rig=review/build/rig
poold=target/rosemary-poold
dir=$(mktemp -d)
pids=

finish () {
	for p in $pids
	do
		kill -CONT "$p" 2>/dev/null
		kill -KILL "$p" 2>/dev/null
	done
	for p in $pids
	do
		wait "$p" 2>/dev/null
	done
	rm -rf "$dir"
}

trap finish EXIT
trap 'exit 2' INT TERM

# could_not_run WHY: the case shows nothing.
could_not_run () {
	echo "could not run: $1" | tee -a "$out"
	exit 2
}

# broken WHY, held WHY: the verdict.
broken () {
	note "BROKEN: $1"
	echo "broken: $1"
	exit 1
}

held () {
	note "held: $1"
	echo "held: $1"
	exit 0
}

test -x $rig || { echo "run review/build.sh first"; exit 2; }
test -x $poold || { echo "run the build of the deploy file first"; exit 2; }
: >"$out"
port=$($rig ports) || could_not_run "no free ports"

# control WHAT JSON: changes or asks the stand-in; prints its JSON.
control () {
	$rig call -w 2000 POST 127.0.0.1:$port /control/"$1" "$2" | cut -d' ' -f2-
}

# field NAME: prints a number of the JSON object on standard input.
field () {
	sed -n "s/.*\"$1\":\(-*[0-9]*\).*/\1/p"
}

# note TEXT: writes a line with the time into the record.
note () {
	control note "{\"text\":\"$1\"}" >/dev/null
}

# http_of N: prints the address of entry VM N for callers.
http_of () {
	echo "127.0.0.1:$((port + 100 + $1))"
}

start_platform () {
	$rig platform $port "$1" "$out" 2>"$dir"/platform.log &
	pids="$pids $!"
	control note '{"text":"the platform is up"}' >/dev/null
}

# start_proxies: links between entry VMs pass through proxies from now on, and
# each VM has a path of its own to the store, so that a VM can be cut off.
start_proxies () {
	for v in 0 1 2
	do
		$rig proxy $((port + 160 + v)) 127.0.0.1:$((port + 180 + v)) \
			front-z$v "$dir/cut" &
		pids="$pids $!"
	done
	proxies=1
}

# start_vm N: starts entry VM N in zone N, as the deploy file does.
proxies=
start_vm () {
	store=$port listen=
	if test "$proxies"
	then
		store=$((port + 70 + $1))
		listen=--link-listen=127.0.0.1:$((port + 180 + $1))
	fi
	$poold --vm-name=front-z$1 --failure-domain=z$1 \
		--listen="$(http_of "$1")" \
		--ready-listen=127.0.0.1:$((port + 120 + $1)) \
		--link=127.0.0.1:$((port + 160 + $1)) $listen \
		--metrics-listen=127.0.0.1:$((port + 140 + $1)) \
		--store=127.0.0.1:$store --lease=1000 --entry-interval=1500 \
		--remote-factor=2 --status=120s --grace=6s --processor=0.25 \
		--processor-speed=1 >"$dir/vm$1.log" 2>&1 &
	eval "vm_$1=\$!"
	pids="$pids $!"
}

# pid_of N: prints the process of entry VM N.
pid_of () {
	eval "echo \$vm_$1"
}

await_ready () {
	tries=0
	while test "$($rig call GET 127.0.0.1:$((port + 120 + $1)) \
		/api/readiness | cut -c1-3)" != 200
	do
		tries=$((tries + 1))
		test $tries -lt 200 || could_not_run "VM $1 is not ready"
		sleep 0.05
	done
}

# start_all WORKERS: the platform and three entry VMs, one in each zone.
start_all () {
	start_platform "$1"
	for v in 0 1 2
	do
		start_vm $v
	done
	for v in 0 1 2
	do
		await_ready $v
	done
	# The leader has read its list and holds the workers.
	sleep 1.5
	note "all entry VMs are ready"
}

# leader: prints the number of the entry VM that leads.
leader () {
	for v in 0 1 2
	do
		if $rig call GET 127.0.0.1:$((port + 140 + v)) /metrics |
			grep -q '^rosemary_pool_leading 1'
		then
			echo $v
			return
		fi
	done
	echo none
}

# request VM METHOD PATH [BODY]: a client's request. Prints "STATUS BODY", and
# writes both into the record.
request () {
	answer=$($rig call -d "${wait_ms:-5000}" "$2" "$(http_of "$1")" "$3" "${4:-}")
	note "client: $2 $3 at VM $1 -> $(echo "$answer" | tr -d '\"' | cut -c1-80)"
	echo "$answer"
}

# submit VM QUEUE ID SPECIFICATION STEPS: hands in a stored job.
submit () {
	request "$1" POST "/$2/$3" "{\"specification\":\"$4\",\"steps\":[$5]}"
}

# state VM QUEUE ID: prints the state that a client is shown.
state () {
	request "$1" GET "/$2/$3" | sed -n 's/.*"state":"\([a-z]*\)".*/\1/p'
}

# runs PREFIX: prints how many tasks of the name run on workers.
runs () {
	control look "{\"prefix\":\"$1\"}" | field runs
}

# await_runs PREFIX N SECONDS: waits until N tasks of the name run.
await_runs () {
	tries=0
	while test "$(runs "$1")" -lt "$2"
	do
		tries=$((tries + 1))
		test $tries -lt $(($3 * 20)) || return 1
		sleep 0.05
	done
}
