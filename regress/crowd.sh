# Shell functions for tests of clients that do not behave, sourced by
# crowd-pool.sh and crowd-daemon.sh, which say how to start entry VMs and what
# an ordinary request is. The memory of processes that are built with sanitizers
# says nothing, so the processes are the optimised ones. Run one of these tests
# at a time, apart from other load.

bin=build
# What the platform states for the machine of each entry VM.
memory_mb=64
descriptors=1000
max_body=262144

# bound NAME N JSON: fails if the member of the JSON object is above N.
bound () {
	n=$(echo "$3" | pick "$1")
	test "$n" -le "$2" || { echo "$1 is $n, above $2: $3"; return 1; }
}

# crowd ADDRESS FLAG...: the clients come to the address and stay. Fails if an
# entry VM ends, or holds more than its machine has, or if an ordinary request
# to either is not answered while they stay, or after.
crowd () {
	address=$1
	shift
	: >"$dir"/crowd.log
	"$bin"/regress/crowd/crowd --address="$address" "$@" $watched \
		>"$dir"/crowd.log &
	crowd_pid=$!
	pids="$pids $crowd_pid"
	until grep -q settled "$dir"/crowd.log
	do
		kill -0 $crowd_pid || return 1
		sleep 0.1
	done
	ordinary_requests "beside the crowd" | ${answers:-cat}
	kill -TERM $crowd_pid
	wait $crowd_pid
	seen=$(tail -n 1 "$dir"/crowd.log)
	mkdir -p build/out
	echo "$seen" >build/out/"$name".seen
	ordinary_requests "after it" | ${answers_after:-cat}
	bound ended 0 "$seen"
	bound memory_kb $((memory_mb * 1024)) "$seen"
	bound descriptors $descriptors "$seen"
}
