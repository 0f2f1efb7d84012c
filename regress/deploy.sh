# Shell functions that run real processes on loopback: stand-ins for the
# platform and the targets, and entry VMs in four failure domains. The script
# that sources this file sets $dir to a directory for its files. $port is the
# first of 200 ports; it depends on the path of the work tree, so that tests of
# two work trees can run at the same time.

bin=${BIN:-build/san}
domains="sando penal couva point"
pids=
tree=$(pwd | cksum)
port=$((24200 + ${tree%% *} % 40 * 200))

# domain_of N: prints the failure domain of entry VM or target N, from 0.
domain_of () {
	set -- $(($1 % 4 + 1)) $domains
	shift "$1"
	echo "$1"
}

# write_vms ENTRY_VMS TARGETS SLOTS [LEAVING_VM]: prints the platform's list of
# VMs as JSON; LEAVING_VM is the name of an entry VM to mark as leaving.
write_vms () {
	printf '{"vms":['
	i=0
	while test $i -lt "$1"
	do
		test "vm$i" = "${4:-}" && leaving=true || leaving=false
		printf '{"name":"vm%d","kind":"entry_vm",' $i
		printf '"address":"127.0.0.1:%d",' $((port + 1 + i))
		printf '"failure_domain":"%s","leaving":%s},' \
			"$(domain_of $i)" $leaving
		i=$((i + 1))
	done
	i=0
	while test $i -lt "$2"
	do
		test $i = 0 || printf ','
		printf '{"name":"t%d","kind":"target",' $i
		printf '"address":"127.0.0.1:%d",' $((port + 100 + i))
		printf '"failure_domain":"%s",' "$(domain_of $i)"
		printf '"service":"deadline-desk","leaving":false,'
		printf '"slots":%d,"connections":64,' "$3"
		printf '"can_lookup":true,"can_void":true}'
		i=$((i + 1))
	done
	printf ']}'
}

# start_platform: starts the platform with the list $dir/vms.json at $port.
start_platform () {
	"$bin"/rosemary-fake-platform --listen=127.0.0.1:$port \
		--vms="$dir"/vms.json >"$dir"/platform.log 2>&1 &
	platform_pid=$!
	pids="$pids $!"
}

# start_targets COUNT SLOTS [FLAG...]: starts targets with SLOTS slots each.
start_targets () {
	count=$1 slots=$2
	shift 2
	"$bin"/rosemary-fake-target --listen=127.0.0.1:$((port + 100)) \
		--count="$count" --slots="$slots" "$@" \
		>"$dir"/targets.log 2>&1 &
	pids="$pids $!"
}

# start_vm N [FLAG...]: starts entry VM N and sets vm_N to its process id.
start_vm () {
	n=$1
	shift
	"$bin"/rosemaryd --vm-name=vm$n \
		--address=127.0.0.1:$((port + 1 + n)) \
		--failure-domain="$(domain_of $n)" \
		--http-listen=127.0.0.1:$((port + 50 + n)) \
		--platform=127.0.0.1:$port "$@" >>"$dir"/vm$n.log 2>&1 &
	eval "vm_$n=\$!"
	pids="$pids $!"
}

# pid_of N: prints the process id of entry VM N.
pid_of () {
	eval "echo \$vm_$1"
}

# http_of N: prints the HTTP address of entry VM N.
http_of () {
	echo "127.0.0.1:$((port + 50 + $1))"
}

# await_ready N: waits until entry VM N is ready for callers, for about 20 s
# at most.
await_ready () {
	tries=0
	until "$bin"/rosemary-fake-call GET "$(http_of "$1")" /readyz \
		>/dev/null 2>&1
	do
		tries=$((tries + 1))
		test $tries -lt 200 || return 1
		sleep 0.1
	done
}

# control JSON: sets faults of the platform stand-in.
control () {
	"$bin"/rosemary-fake-call POST 127.0.0.1:$port /v1/control "$1" \
		>/dev/null
}

# stop_all: stops all processes that the script started, suspended ones too.
stop_all () {
	for p in $pids
	do
		kill -CONT "$p" 2>/dev/null
		kill "$p" 2>/dev/null
	done
	for p in $pids
	do
		wait "$p" 2>/dev/null
	done
}
