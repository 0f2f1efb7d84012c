/* Election, succession and resignation of the pool's leader. */

#include "lead.h"

#include <stdio.h>
#include <string.h>

void lead_init(struct lead *l, const struct lead_ops *ops, void *user,
	       const char *vm, const char *address, uint64_t incarnation)
{
	memset(l, 0, sizeof(*l));
	l->ops = ops;
	l->user = user;
	snprintf(l->vm, sizeof(l->vm), "%s", vm);
	snprintf(l->address, sizeof(l->address), "%s", address);
	l->incarnation = incarnation;
	l->rank = LEAD_SUCCESSORS + (unsigned)(incarnation % LEAD_SUCCESSORS);
}

static int names_me(const struct lead *l, const struct lead_row *row)
{
	return row->incarnation == l->incarnation && !strcmp(row->vm, l->vm);
}

/* The row names an earlier process of this VM. */
static int names_my_past(const struct lead *l)
{
	return !strcmp(l->row.vm, l->vm) &&
	       l->row.incarnation != l->incarnation;
}

static void settle(struct lead *l, rp_ms now)
{
	int leads = l->row.fence && names_me(l, &l->row);

	l->role = leads ? LEAD_LEADING : LEAD_FOLLOWING;
	l->step = LEAD_CALM;
	l->former_age = now - l->renewed_at;
	l->heard_at = now;
	l->renewed_at = now;
	l->refused = 0;
	l->resigning = 0;
	l->not_before = 0;
	if (!LEAD_IS_ALONE(l->row.fence))
		l->everywhere = 0;
	l->ops->changed(l);
}

void lead_read(struct lead *l, const struct lead_row *row, rp_ms now)
{
	int64_t version = row->version;

	if (l->role != LEAD_UNKNOWN && row->fence <= l->row.fence) {
		if (row->fence != l->row.fence || version <= l->row.version)
			return;
		/* The same leader, known by its beat before the row came. */
		l->row.version = version;
		if (l->role == LEAD_LEADING || !names_me(l, row))
			return;
	}
	l->row = *row;
	settle(l, now);
}

void lead_claim_failed(struct lead *l, rp_ms now)
{
	if (l->step != LEAD_CLAIMING)
		return;
	l->step = LEAD_CALM;
	l->not_before = now + LEAD_BACK_OFF_MS;
}

void lead_renewed(struct lead *l, rp_ms now)
{
	l->renewed_at = now;
}

static void start_claim(struct lead *l, rp_ms now);

/* Of a VM that the leader does not name as a successor. */
static unsigned last_rank(const struct lead *l)
{
	unsigned rank =
		LEAD_SUCCESSORS + (unsigned)(l->incarnation % LEAD_SUCCESSORS);

	return l->larger ? rank + LEAD_SUCCESSORS : rank;
}

static unsigned rank_in(const struct lead *l, const struct lead_beat *b)
{
	size_t i;

	for (i = 0; i < b->nsuccessors; i++)
		if (!strcmp(b->successors[i], l->vm))
			return (unsigned)i;
	return last_rank(l);
}

/* A leader with a higher token than any known: its row is there already. */
static void follow(struct lead *l, const struct lead_beat *b, rp_ms now)
{
	l->row.fence = b->fence;
	l->row.incarnation = 0;
	snprintf(l->row.vm, sizeof(l->row.vm), "%s", b->leader);
	snprintf(l->row.address, sizeof(l->row.address), "%s", b->address);
	settle(l, now);
}

static void hear_leader(struct lead *l, const struct lead_beat *b, rp_ms now)
{
	l->heard_at = now;
	l->refused = 0;
	l->rank = rank_in(l, b);
	if (l->step == LEAD_PROBING)
		l->step = LEAD_CALM;
	if (b->resigns && l->rank == 0 && l->step == LEAD_CALM &&
	    now >= l->not_before)
		start_claim(l, now);
}

int lead_alone(const struct lead *l)
{
	return l->role == LEAD_LEADING && LEAD_IS_ALONE(l->row.fence);
}

/*
 * A domain that was cut off is back, under a token above this leader's: it
 * takes the next one, which that domain follows.
 */
static int outbid(struct lead *l, const struct lead_beat *b, rp_ms now)
{
	if (l->role != LEAD_LEADING || lead_alone(l) ||
	    LEAD_COUNT(b->fence) != LEAD_COUNT(l->row.fence))
		return 0;
	if (l->step == LEAD_CALM && now >= l->not_before)
		start_claim(l, now);
	return 1;
}

static int should_follow(struct lead *l, const struct lead_beat *b, rp_ms now)
{
	/* Of its own office a VM learns from the store. */
	if (b->fence <= l->row.fence || !b->leader[0] || !b->address[0] ||
	    !strcmp(b->leader, l->vm))
		return 0;
	if (!LEAD_IS_ALONE(b->fence) ||
	    LEAD_COUNT(b->fence) != LEAD_COUNT(l->row.fence))
		return 1;
	return !outbid(l, b, now) && (lead_alone(l) || !lead_in_touch(l, now));
}

void lead_beat(struct lead *l, const struct lead_beat *b, rp_ms now)
{
	if (should_follow(l, b, now))
		follow(l, b, now);
	else if (b->fence > l->row.fence)
		return;
	if (b->fence < l->row.fence)
		return;
	if (b->leading && l->role == LEAD_FOLLOWING) {
		hear_leader(l, b, now);
		return;
	}
	if (l->step != LEAD_PROBING)
		return;
	if (b->hears)
		l->hearing++;
	else
		l->silent++;
}

void lead_refused(struct lead *l, rp_ms now)
{
	(void)now;
	l->refused = 1;
}

static void start_claim(struct lead *l, rp_ms now)
{
	struct lead_row row = {
		.fence = LEAD_TOKEN(LEAD_COUNT(l->row.fence) + 1),
		.incarnation = l->incarnation,
	};

	if (l->barred)
		return;
	snprintf(row.vm, sizeof(row.vm), "%s", l->vm);
	snprintf(row.address, sizeof(row.address), "%s", l->address);
	l->step = LEAD_CLAIMING;
	l->step_at = now;
	l->ops->claim(l, &row, l->row.version);
}

static void start_probe(struct lead *l, rp_ms now)
{
	l->step = LEAD_PROBING;
	l->step_at = now;
	l->hearing = l->silent = 0;
	l->ops->probe(l);
}

/* What the answers to a probe allow. */
static void end_probe(struct lead *l, rp_ms now)
{
	int alone = !l->hearing && !l->silent && l->others;

	if (!l->hearing && l->store_lost && l->row_version && !l->barred) {
		l->step = LEAD_SURVEYING;
		l->step_at = now;
		l->ops->survey(l);
		return;
	}
	if (l->hearing || l->store_lost ||
	    (alone && now - l->renewed_at < LEAD_STALE_MS)) {
		l->step = LEAD_CALM;
		l->not_before = now + LEAD_BACK_OFF_MS;
		return;
	}
	start_claim(l, now);
}

/* Of those that answered the probe, none hears the leader. */
static int has_majority(const struct lead *l)
{
	return l->others && (l->silent + 1) * 2 > l->others + 1;
}

void lead_surveyed(struct lead *l, int outside, rp_ms now)
{
	if (l->step != LEAD_SURVEYING)
		return;
	l->step = LEAD_CALM;
	l->not_before = now + LEAD_BACK_OFF_MS;
	if (l->role != LEAD_FOLLOWING || lead_in_touch(l, now) ||
	    (outside && !has_majority(l)))
		return;
	l->everywhere = outside;
	if (!LEAD_IS_ALONE(l->row.fence))
		l->former = l->row;
	l->row.fence = LEAD_TOKEN(LEAD_COUNT(l->row.fence)) | l->row_version;
	l->row.incarnation = l->incarnation;
	snprintf(l->row.vm, sizeof(l->row.vm), "%s", l->vm);
	snprintf(l->row.address, sizeof(l->row.address), "%s", l->address);
	settle(l, now);
}

/* How long the leader may be silent before this VM acts. */
static rp_ms patience(const struct lead *l)
{
	rp_ms turn = (rp_ms)l->rank * LEAD_RANK_MS;

	return l->refused ? turn : LEAD_SILENT_MS + turn;
}

void lead_tick(struct lead *l, rp_ms now)
{
	if (l->step == LEAD_CLAIMING && now - l->step_at >= LEAD_CLAIM_MS)
		l->step = LEAD_CALM;
	if (l->step == LEAD_SURVEYING && now - l->step_at >= LEAD_CLAIM_MS)
		l->step = LEAD_CALM;
	/* The store is back: an office that it knows of. */
	if (lead_alone(l) && l->everywhere && !l->store_lost && !l->barred &&
	    l->step == LEAD_CALM && now >= l->not_before)
		start_claim(l, now);
	if (l->role != LEAD_FOLLOWING || now < l->not_before)
		return;
	if (l->step == LEAD_PROBING) {
		if (now - l->step_at >= LEAD_PROBE_MS)
			end_probe(l, now);
		return;
	}
	if (l->step != LEAD_CALM || l->barred)
		return;
	if (!l->row.fence || names_my_past(l)) {
		rp_ms turn = (rp_ms)(l->incarnation % 8) * 20 +
			     (l->larger ? LEAD_LARGER_MS : 0);

		/* An earlier process of this VM led: nobody else is surer. */
		if (l->row.fence || now - l->heard_at >= turn)
			start_claim(l, now);
		return;
	}
	if (now - l->heard_at >= patience(l))
		start_probe(l, now);
}

static void lose(struct lead *l, rp_ms now)
{
	l->role = LEAD_FOLLOWING;
	l->step = LEAD_CALM;
	l->heard_at = now;
	l->not_before = now + LEAD_SILENT_MS;
	l->resigning = 0;
	l->ops->changed(l);
}

void lead_paused(struct lead *l, rp_ms now)
{
	if (l->role == LEAD_LEADING)
		lose(l, now);
	l->heard_at = now;
	if (l->step == LEAD_PROBING)
		l->step = LEAD_CALM;
}

void lead_resign(struct lead *l)
{
	if (l->role == LEAD_LEADING)
		l->resigning = 1;
}

/*
 * The token is a successor's, or a domain's that was cut off. The store tells:
 * the next token is this leader's only where there is no successor.
 */
void lead_fenced(struct lead *l, rp_ms now)
{
	if (l->role != LEAD_LEADING)
		return;
	if (lead_alone(l))
		lose(l, now);
	else if (l->step == LEAD_CALM && now >= l->not_before)
		start_claim(l, now);
}

int lead_in_touch(const struct lead *l, rp_ms now)
{
	if (l->role == LEAD_LEADING)
		return 1;
	return l->role == LEAD_FOLLOWING && l->row.fence &&
	       !names_me(l, &l->row) && now - l->heard_at < LEAD_SILENT_MS;
}
