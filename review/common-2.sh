# Shell functions of the cases 6 to 10; sourced by their run.sh from the root of
# the project. The programs are the deploy file's target/rosemary-poold and the
# stand-in and client that review/build-2.sh builds. All addresses are loopback
# addresses, the ports are free ones. run.sh sets $here, $record and $trouble.

set -u
cd "$here/../.."
tools=${TOOLS:-target/review-2}
dir=$(mktemp -d)
pids=

cannot () {
	echo "cannot run: $*" | tee -a "$record"
	exit 2
}

finish () {
	rc=$?
	for p in $pids
	do
		kill -CONT "$p" 2>/dev/null
		kill -KILL "$p" 2>/dev/null
	done
	for p in $pids
	do
		wait "$p" 2>/dev/null
	done
	{
		echo "--- what the stand-in of store and workers saw"
		cut -c 1-200 "$dir/rig.log"
		if test -n "${KEEP_LOGS:-}"
		then
			cp "$dir"/vm*.log "$KEEP_LOGS"
		fi
	} >>"$record" 2>/dev/null
	rm -rf "$dir"
	exit $rc
}
: >"$record"
trap finish EXIT
trap 'exit 2' INT TERM

for f in target/rosemary-poold $tools/rig $tools/call
do
	test -x $f || cannot "$f is not built"
done

now () {
	cut -d ' ' -f 1 /proc/uptime
}

begin=$(now)
note () {
	awk -v b="$begin" -v n="$(now)" -v t="$*" \
		'BEGIN { printf "%8.2f %s\n", n - b, t }' | tee -a "$record"
}

# since T: prints the seconds since T with two digits.
since () {
	awk -v b="$1" -v n="$(now)" 'BEGIN { printf "%.2f", n - b }'
}

# later A B: whether A is greater than B.
later () {
	awk -v a="$1" -v b="$2" 'BEGIN { exit !(a > b) }'
}

# call FLAG... METHOD ADDRESS PATH [BODY]: makes a request, prints the answer.
call () {
	$tools/call "$@" 2>/dev/null || :
}

pick () {
	$tools/call --stdin --field "$1"
}

control () {
	call POST 127.0.0.1:$port "/control/$1" "${2:-}"
}

http_of () {
	echo "127.0.0.1:$((port + 70 + $1))"
}

# start_platform WORKERS [CPU [MAX_ATTEMPTS]]: picks ports that are free.
start_platform () {
	try=0
	while test $try -lt 20
	do
		port=$((11000 + ($$ * 7 + try * 131) % 180 * 110))
		try=$((try + 1))
		$tools/rig 127.0.0.1:$port "$1" "${2:-16000}" "${3:-3}" 1 \
			>"$dir/rig.log" 2>"$dir/rig.err" &
		rig=$!
		sleep 0.3
		if kill -0 $rig 2>/dev/null
		then
			pids="$pids $rig"
			return
		fi
	done
	cannot "no free ports"
}

# start_vm N: starts entry VM N as the deploy file does; sets vm_N to its pid.
start_vm () {
	n=$1
	case $((n % 3)) in
	0) zone=sando ;;
	1) zone=penal ;;
	*) zone=couva ;;
	esac
	target/rosemary-poold --vm-name=front-$zone-$n --failure-domain=$zone \
		--listen="$(http_of "$n")" \
		--ready-listen=127.0.0.1:$((port + 80 + n)) \
		--link=127.0.0.1:$((port + 90 + n)) \
		--metrics-listen=127.0.0.1:$((port + 100 + n)) \
		--store=127.0.0.1:$port --lease=1000 --entry-interval=1500 \
		--remote-factor=2 --status=120s --grace=6s --processor=0.25 \
		--processor-speed=1 >>"$dir/vm$n.log" 2>&1 &
	eval "vm_$n=\$!"
	pids="$pids $!"
}

await_ready () {
	try=0
	while test "$(call --status GET 127.0.0.1:$((port + 80 + $1)) \
		/api/readiness)" != 200
	do
		try=$((try + 1))
		test $try -lt 200 || cannot "entry VM $1 is not ready"
		sleep 0.1
	done
}

# start_pool VMS WORKERS [CPU [MAX_ATTEMPTS]]
start_pool () {
	vms=$1
	shift
	start_platform "$@"
	i=0
	while test $i -lt "$vms"
	do
		start_vm $i
		i=$((i + 1))
	done
	i=0
	while test $i -lt "$vms"
	do
		await_ready $i
		i=$((i + 1))
	done
	sleep 1
}

# submit VM ID SPECIFICATION STEPS: hands a stored job in, prints the status.
submit () {
	status=$(call --status POST "$(http_of "$1")" "/q/$2" \
		"{\"specification\":\"$3\",\"steps\":[$4]}")
	note "POST /q/$2 to VM $1: ${status:-no answer}   $3" >&2
	echo "$status"
}

# state VM ID: prints the state that a GET shows, or the status if there is none
state () {
	s=$(call GET "$(http_of "$1")" "/q/$2" | pick state)
	test -n "$s" || s=$(call --status GET "$(http_of "$1")" "/q/$2")
	echo "$s"
}

task () {
	control task "{\"task\":\"$1\"}" | pick "$2"
}

use () {
	control use | pick "$1"
}

# leader: prints which entry VM leads by its metrics.
leader () {
	v=0
	while test $v -lt "$vms"
	do
		call GET 127.0.0.1:$((port + 100 + v)) /metrics |
			grep -q '^rosemary_pool_leading 1' && echo $v
		v=$((v + 1))
	done
}
