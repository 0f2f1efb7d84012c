# Shell functions of the cases 11 to 15. A script sets $case to its folder and
# reads this file from the root of the tree. Everything listens on loopback.

set -eu
rig=target/review/rig-3
poold=target/rosemary-poold
record=$case/record.txt
trouble=${TROUBLE:-1}
if ! test -x $rig || ! test -x $poold
then
	echo "not built: the deploy file's build, then review/build-3.sh"
	exit 2
fi
dir=$(mktemp -d)
: >"$record"
pids=
base=$($rig free 80) || exit 2
store=127.0.0.1:$base

# Ends the processes that this script started, by their ids.
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
trap 'exit 2' INT TERM

# note TEXT: a line of the record by the script.
note () {
	echo "$($rig now) script $*" >>"$record"
}

# unable WHY: the case could not run.
unable () {
	note "could not run: $*"
	echo "could not run: $*"
	cp "$dir"/*.log "${KEEP:-$dir}"/ 2>/dev/null || :
	exit 2
}

# broken WHY, held WHY: the verdict.
broken () {
	note "BROKEN: $*"
	echo "broken: $*"
	cp "$dir"/*.log "${KEEP:-$dir}"/ 2>/dev/null || :
	exit 1
}
held () {
	note "HELD: $*"
	echo "held: $*"
	cp "$dir"/*.log "${KEEP:-$dir}"/ 2>/dev/null || :
	exit 0
}

# start_store MANIFEST_JSON
start_store () {
	echo "$1" >"$dir"/manifest
	$rig store $base "$record" "$dir"/manifest >"$dir"/store.log 2>&1 &
	store_pid=$!
	pids="$pids $!"
	sleep 0.2
}

# start_worker N ZONE [SPEED [CPU [ID]]]: sets worker_N to its pid.
start_worker () {
	$rig worker $((base + 1 + $1)) "$record" $store "${5:-w$1}" "$2" \
		"${3:-1}" "${4:-16000}" >>"$dir"/worker.log 2>&1 &
	eval "worker_$1=\$!"
	pids="$pids $!"
}

# worker_pid N: prints the pid of worker N.
worker_pid () {
	eval "echo \$worker_$1"
}

# http_of N: prints the address of entry VM N for clients.
http_of () {
	echo 127.0.0.1:$((base + 40 + $1))
}

# start_vm N ZONE: with the command of the deploy file; sets vm_N to its pid.
start_vm () {
	$poold --vm-name=vm$1 --failure-domain="$2" --listen="$(http_of $1)" \
		--ready-listen=127.0.0.1:$((base + 48 + $1)) \
		--link=127.0.0.1:$((base + 56 + $1)) \
		--metrics-listen=127.0.0.1:$((base + 64 + $1)) \
		--store=$store --lease=1000 --entry-interval=1500 \
		--remote-factor=2 --status=120s --grace=6s --processor=0.25 \
		--processor-speed=1 --memory=260 --descriptors=4100 \
		>>"$dir"/vm$1.log 2>&1 &
	eval "vm_$1=\$!"
	pids="$pids $!"
}

# await_ready N...: waits until the entry VMs are ready for clients.
await_ready () {
	for v in "$@"
	do
		tries=0
		until test "$($rig call GET 127.0.0.1:$((base + 48 + v)) \
			/api/readiness x 500)" = "200 {}"
		do
			tries=$((tries + 1))
			test $tries -lt 100 || unable "vm$v is not ready"
			sleep 0.1
		done
	done
}

# send METHOD VM PATH DEADLINE_MS [BODY]: a client's request. Its answer, the
# status and the body, goes into $answer and the record.
send () {
	note "client: $1 $3 at vm$2 $(echo "${5:-}" | cut -c1-300)"
	answer=$($rig call "$1" "$(http_of "$2")" "$3" desk.example "$4" "${5:-}")
	note "client: answer to $1 $3 at vm$2: $answer"
}

# start_of ID AFTER: prints "WORKER RUN MS" of the first start of a task of the
# job that the record has after the time AFTER.
start_of () {
	awk -v id="$1" -v after="$2" '$3 == "start" && $1 > after &&
		index($4, id ".") == 1 { print $2, $5, $1; exit }' "$record"
}

# await_start ID AFTER TENTHS: waits for it; sets $on, $run and $at.
await_start () {
	tries=0
	on=
	while test -z "$on"
	do
		set -- "$1" "$2" "$3" $(start_of "$1" "$2")
		on=${4:-} run=${5:-} at=${6:-}
		test -n "$on" && break
		tries=$((tries + 1))
		test $tries -le $(($3 * 5)) || return 1
		sleep 0.02
	done
}

# start_pool: the store, 8 workers of 16 cores in 3 zones, and 3
# entry VMs that are ready. One route, with the figures of the sites' files.
start_pool () {
	start_store "$(manifest 1 "")"
	for w in 0 1 2 3 4 5 6 7
	do
		start_worker $w z$((w % 3))
	done
	for v in 0 1 2
	do
		start_vm $v z$v
	done
	await_ready 0 1 2
	sleep 2
}

# route NAME: prints a route of the manifest.
route () {
	echo "{\"name\":\"$1\",\"host\":\"desk.example\",\"pathPrefix\":\"/$1/\",\
\"service\":\"desk\",\"priority\":1,\"maxAttempts\":3,\"stretch\":1.6,\
\"targetLatencyMs\":60,\"timeoutMs\":5000}"
}

# manifest VERSION MORE_ROUTES: prints a manifest with the route q and more,
# each of which begins with a comma.
manifest () {
	echo "{\"version\":$1,\"routes\":[$(route q)$2],\"services\":\
[{\"name\":\"desk\",\"rejectsOverload\":false}],\
\"limits\":{\"maxBodyBytes\":262144}}"
}

# job TASKS CPU MS: prints the body of a job of one step, to be stored.
job () {
	echo "{\"specification\":\"$3\",\"steps\":[{\"count\":$1,\"cpu\":$2,\
\"taskMemoryMb\":64,\"estimatedMs\":$3}]}"
}

# kill_worker N ID: worker N crashes, which has this id. It stays down until it
# is started again.
kill_worker () {
	kill -KILL "$(worker_pid "$1")"
	note "killed $2"
}

# running ID FROM TO: prints the ms between the times FROM and TO in which a
# task of the job was running on a worker that was up.
running () {
	awk -v id="$1" -v from="$2" -v to="$3" '
	function add (a, b) {
		if (a < from) a = from
		if (b > to) b = to
		for (; a < b; a++) busy[a] = 1
	}
	$3 == "start" && index($4, id ".") == 1 { began[$2 " " $4 " " $5] = $1 }
	$3 == "end" && ($2 " " $4 " " $5) in began {
		add(began[$2 " " $4 " " $5], $1)
		delete began[$2 " " $4 " " $5]
	}
	$2 == "script" && $3 == "killed" {
		for (k in began)
			if (index(k, $4 " ") == 1) {
				add(began[k], $1)
				delete began[k]
			}
	}
	END {
		for (k in began) add(began[k], to)
		for (t in busy) n++
		print n + 0
	}' "$record"
}

# tasks_at TIME: prints how many tasks were running at that time.
tasks_at () {
	awk -v at="$1" '$1 > at { next }
	$3 == "start" { on[$2 " " $4 " " $5] = 1 }
	$3 == "end" { delete on[$2 " " $4 " " $5] }
	$2 == "script" && $3 == "killed" {
		for (k in on)
			if (index(k, $4 " ") == 1) delete on[k]
	}
	END { for (k in on) n++; print n + 0 }' "$record"
}
