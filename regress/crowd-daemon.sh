# Shell functions for tests of clients that do not behave and rosemaryd.

. ./regress/lib.sh
. ./regress/crowd.sh

export ROSEMARY_MEMORY=$memory_mb ROSEMARY_DESCRIPTORS=$descriptors

# start_small_daemon: starts an entry VM that takes bodies of up to $max_body,
# and targets on which a task takes MS.
start_small_daemon () {
	export ROSEMARY_HTTP_BODY=$max_body
	start_all 1 2 --service-ms="$1" --spread=0
	watched="--pid=$vm_0 --port=$((port + 50))"
}

# ordinary_requests WHEN: makes a request.
ordinary_requests () {
	"$bin"/rosemary request --entry-vm="$(http_of 0)" \
		--service=deadline-desk --team=board --timeout=5000 x \
		>"$dir"/answer 2>&1 && status=0 || status=$?
	echo "request $1: exit $status"
}

# any_answer: prints "answered" in place of the exit statuses for a result and
# for a request that was not run: accepted submissions may take all room.
any_answer () {
	sed 's/exit [034]$/answered/'
}
