# Shell functions for tests of clients that do not behave and rosemary-poold.

. ./regress/pool.sh
. ./regress/crowd.sh

export ROSEMARY_POOL_MEMORY=$memory_mb ROSEMARY_POOL_DESCRIPTORS=$descriptors
# Jobs of an ordinary caller, and one that takes longer than the test.
job='{"specification":"30","bestEffort":true,"steps":[{"count":1,"cpu":6000,"estimatedMs":30}]}'
long_job='{"specification":"60000","bestEffort":true,"steps":[{"count":1,"cpu":6000,"estimatedMs":1}]}'

# start_small_pool: starts two entry VMs that take bodies of up to $max_body. The
# objective is long, so that a slow machine does not make an ordinary job late.
start_small_pool () {
	start_pool 2 8
	control row '{"table":"op","key":"config","text":"{\"version\":2,\"routes\":[{\"name\":\"q\",\"host\":\"127.0.0.1\",\"pathPrefix\":\"/q/\",\"timeoutMs\":10000,\"targetLatencyMs\":10000,\"priority\":0,\"service\":\"desk\",\"maxAttempts\":3,\"stretch\":2}],\"limits\":{\"maxBodyBytes\":'$max_body'}}"}'
	for v in 0 1
	do
		tries=0
		until call GET 127.0.0.1:$((port + 140 + v)) /metrics |
			grep -q '^rosemary_pool_routes_version 2'
		do
			tries=$((tries + 1))
			test $tries -lt 200 || return 1
			sleep 0.05
		done
	done
	watched="--pid=$vm_0 --pid=$vm_1 --port=$((port + 100))
		--port=$((port + 120)) --port=$((port + 140))"
}

# ordinary_requests WHEN: submits a job to each entry VM.
nrequests=0
ordinary_requests () {
	for v in 0 1
	do
		nrequests=$((nrequests + 1))
		echo "vm$v $1: $(call --status POST "$(http_of $v)" \
			/q/00000000000fff0$nrequests "$job")"
	done
}

# any_answer: prints "answered" for each status. Jobs of the crowd that were
# accepted may take all room of the targets, so that an ordinary one is
# rejected, or not completed in time.
any_answer () {
	sed 's/: \(200\|503\|504\)$/: answered/'
}
