#!/bin/sh
# Mutation testing of sched-orders: takes one recorded fix at a time out of a
# copy of the tree and prints which seeds fail then, but not on the unchanged
# tree. Not part of make check. PARTS and the like are passed on.
#
#   [SEEDS=1-2000] [ONLY=PATTERN] regress/mutate-orders.sh [DIR]
set -u
cd "$(dirname "$0")/.."
dir=${1:-build/mutate-orders}
seeds=${SEEDS:-1-2000}
bin=build/regress/sched-orders
mkdir -p "$dir"
git ls-files | tar cf - -T - | tar xf - -C "$dir" || exit 1

build () {
	(cd "$dir" && make -s -j2 B=build WARN= $bin) >"$dir"/build.log 2>&1
}

play () {
	SEEDS=$seeds "$dir"/$bin -j1 2>&1 |
		sed -n 's/^seed \([0-9]*\): \(.*\): [^ ]* at .*/\1 \2/p'
}

# mutate NAME FILE SED: edits the file with sed, plays and restores the file.
mutate () {
	case $1 in
	*${ONLY:-}*) ;;
	*) return ;;
	esac
	sed "$3" "$2" >"$dir/$2"
	if cmp -s "$2" "$dir/$2"
	then
		echo "$1: the pattern matches nothing"
	elif build
	then
		play | grep -v -x -F -f "$dir"/unchanged.txt >"$dir"/found.txt
		echo "$1: $(wc -l <"$dir"/found.txt) seeds of $seeds:" \
			$(head -n 3 "$dir"/found.txt | tr '\n' ',')
	else
		echo "$1: does not build"
	fi
	cp "$2" "$dir/$2"
}

build || { cat "$dir"/build.log; exit 1; }
play >"$dir"/unchanged.txt
echo "unchanged: $(wc -l <"$dir"/unchanged.txt) seeds of $seeds"
echo "0 none" >>"$dir"/unchanged.txt
mutate "takes the list for complete (H1)" sched-adopt.c \
	's/s->prev_may_hold_unlisted || !is_predecessor/!is_predecessor/'
mutate "tells the last leader only (H2)" regress/world/vms-job.c \
	's/^	if (!r->started_fence || (!LEAD.*/	if (1 || (r->started_fence \&\&/'
mutate "takes runs of provisional leaders for own ones (H3)" sched-adopt.c \
	's/return !LEAD_IS_PROVISIONAL(s->fence) && run/return run/'
mutate "forgets late calls with the lease (H4)" sched-run.c \
	's/^		return now - task->sent_at < LATE.*/		return 0;/; s/^	return t->lossy_at && now.*/	return 0;/'
mutate "keeps run numbers under a raised token" sched-core.c \
	's/^	raise_run_numbers(s);//'
mutate "renews runs that no job claims" sched-hold.c \
	's/return t->nforeign > 0 ||/return/'
mutate "names no domains of jobs with deadlines" sched-domain.c \
	's/return job->stored || job->deadline >.*/return job->stored;/'
mutate "forgets that any domain is presumed" sched-domain.c \
	's/^	job->any_former_domain |= sub->any_domain;//'
mutate "tells of all domains too early" sched-dispatch.c \
	's/^			if (!job->nwaiting) {$/			if (job->nplaced) {/'
mutate "does not await the domains' mark" sched-domain.c \
	's/^	job->domains_mark = mark;/	mark = job->domains_mark = 0;/'
mutate "adopts no runs of a first submission" sched-adopt.c \
	's/^	if (o->number ||$/	if (1 || o->number ||/'
mutate "does not await earlier runs" sched-core.c \
	's/job->awaits_earlier_runs = sched_has.*/job->awaits_earlier_runs = 0;/'
mutate "forgets runs that are being stopped" sched-adopt.c \
	's/^			stop_run(t, o);/			{ stop_run(t, o); remove_orphan(t, i); }/'
mutate "starts for silent members" regress/world/vms-member.c \
	's/^	sched_owner_silent(.*//'
mutate "forgets unreached runs of lost owners" sched-run.c \
	's/^		sched_history_add_unreached(task);/		;/'
mutate "acknowledges ends at once" sched-told.c \
	's/^	if (!mark)$/	if (1)/'
mutate "takes replies of other incarnations" sched-hold.c \
	's/return reply->sent_at < t->incarnation_at &&/return 0 \&\&/'
mutate "starts though the entry is old" sched-place.c \
	's/return !t->listing.incarnation || !t->incarnation ||/return 1 ||/'
mutate "starts though the target may have restarted" sched-place.c \
	's/if (now - t->replied_at <= SCHED_RESTART_MIN_MS)/if (1)/'
mutate "acknowledges ends of other incarnations" sched-hold.c \
	's/^	if (t->nruns && t->s->now - t->hold_replied_at >.*/	if (0)/'
mutate "an agent starts for other leaders" regress/world/vms-agent.c \
	's/vm->leader_link && msg->call.fence == fence/vm->leader_link/'
mutate "starts without an answer to the stop" sched-list.c \
	's/^	if (task->replied_at && requested_at > task->replied_at)/	if (1)/'
mutate "takes old lists for new ones" sched-list.c \
	's/requested_at > task->replied_at/requested_at/'
mutate "sends no stop again after a restart" sched-restart.c \
	's/^	t->nlate_restarted = t->nlate_starts;//'
