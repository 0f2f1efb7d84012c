#!/bin/sh
# Mutation testing: introduces one fault at a time in a copy of the tree and
# prints which tests fail. Not part of make check.
#
#   regress/mutate.sh [DIR]
set -u
cd "$(dirname "$0")/.."
dir=${1:-build/mutate}
tests="dispatch-life dispatch-policy kernel-prop path"
san="-fsanitize=address,undefined -fno-sanitize-recover=undefined"
mkdir -p "$dir"
git ls-files | tar cf - -T - | tar xf - -C "$dir" || exit 1

# build: builds the tests of the copy; the output goes to build.log.
build () {
	(cd "$dir" && make -s -j4 B=build WARN= OPT="-O1 -g" SAN="$san" \
		$(printf 'build/regress/%s ' $tests)) >"$dir"/build.log 2>&1
}

# run_tests NAME: runs the tests and prints those that fail.
run_tests () {
	caught=
	for t in $tests
	do
		RC_PARAMS="seed=7 max_success=300 max_size=200" timeout 120 \
			"$dir"/build/regress/"$t" >"$dir/$t".log 2>&1 ||
			caught="$caught $t"
	done
	echo "$1: ${caught:- NOT CAUGHT}"
}

# mutate NAME FILE SED: edits the file with sed, runs the tests and restores
# the file.
mutate () {
	sed "$3" "$2" >"$dir/$2"
	if cmp -s "$2" "$dir/$2"
	then
		echo "$1: the pattern matches nothing"
		return
	fi
	if build
	then
		run_tests "$1"
	else
		echo "$1: does not build"
	fi
	cp "$2" "$dir/$2"
}

build || { cat "$dir"/build.log; exit 1; }
run_tests "unchanged"
mutate "resends an id that is not known" dispatch-lookup.c \
	's/^\(	else if (++s->nunknown >= LOOKUP_UNKNOWN_MAX)\)/	else if (!s->target->can_void) outcome_apply(s, RP_START_UNSENT, NULL, now, acts);\n\1/'
mutate "resends a task after a silent connection" dispatch-outcome.c \
	's/^	if (outcome_retry(job, task, t, now))/	if (code == RP_E_SILENT) { job->tasks[task].may_have_run--; job_requeue_task(job, task, now); return; }\n&/'
mutate "starts past the deadline" dispatch-pump.c \
	's/^	if (left <= 0)/	if (left < -100000)/; s/^	if ((double)left >=/	if (1 || (double)left >=/'
mutate "calls a failed job not run" dispatch-job.c \
	's/job->may_have_run ? RP_FAILED : RP_NOT_RUN/RP_NOT_RUN/'
mutate "answers before the last task" dispatch-job.c \
	's/if (++job->ndone == job->sub->ntasks)/if (++job->ndone + 1 >= job->sub->ntasks)/'
mutate "uses a voided id again" dispatch-lookup.c \
	's/^	s->job->tasks\[s->task\].suffix++;//'
mutate "shares an id among attempts" dispatch-job.c \
	's/^		job->tasks\[task\].suffix++;/		;/'
mutate "goes over a target's limit" limit-alone.c \
	's/t->in_flight < target_limit(t)/t->in_flight <= target_limit(t)/'
mutate "takes a reply to an earlier send" dispatch-start.c \
	's/s->in_use && start_id(d, s) == id/s->in_use/'
mutate "sends to a leaving target" dispatch-service.c \
	's/!t->listed || t->leaving || /!t->listed || /'
mutate "frees an unknown send's slot" dispatch-lookup.c \
	's/^	if (!t->listed) {/	if (1) {/'
mutate "loses a slot" dispatch-start.c \
	's/^	t->in_flight--;//'
mutate "leaks a job" dispatch-start.c \
	's/^	job_unref(s->job);//'
mutate "does not stop the tasks of an ended job" dispatch-job.c \
	's/^	start_stop_all(job, acts);//'
mutate "spins on an unsent task" dispatch-pump.c \
	's/^	t->paused = 1;//'
mutate "retries without a budget" retry-budget.c \
	's/^	if (b->tokens < RETRY_COST)/	if (0)/'
mutate "ignores the quota" queue-fair.c \
	's/team->in_flight >= team->quota/0/'
mutate "ignores the weight" queue-fair.c \
	's|(double)RP_WEIGHT_DEFAULT / weight|1 + 0 * weight|'
mutate "ejects all targets" health-peers.c \
	's/return h->nejected < max;/return 1;/; /^static int is_outlier/,/^}/s/others > RATE_MIN/others > 2/'
mutate "learns a rate from idle time" admit-deadline.c \
	's/elapsed > WINDOWS_MAX \* WINDOW_MS/0/; s/a->idle = 1/a->idle = 0/'
