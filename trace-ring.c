/*
 * The ring buffer of recent trace events and their hybrid logical clock. The
 * clock has the wall time in ms in the upper 48 bits and a counter in the
 * lower 16. A received message moves it past the sender's stamp, so that a
 * cause has a smaller stamp than its effect even when machine clocks differ.
 */

#include "rosemary-int.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#define HLC_COUNTER_BITS 16

static const char *const trace_names[] = {
	[RP_TRACE_SUBMITTED] = "submitted",
	[RP_TRACE_STARTED] = "started",
	[RP_TRACE_ENDED] = "ended",
	[RP_TRACE_ANSWERED] = "answered",
	[RP_TRACE_RETRIED] = "retried",
	[RP_TRACE_EJECTED] = "ejected",
	[RP_TRACE_READMITTED] = "readmitted",
	[RP_TRACE_CREDIT] = "credit",
	[RP_TRACE_MEMBER] = "member",
	[RP_TRACE_TABLE] = "table",
	[RP_TRACE_DRAIN] = "drain",
	[RP_TRACE_CLAIM] = "claim",
	[RP_TRACE_RELAY] = "relay",
	[RP_TRACE_VIOLATION] = "violation",
};

void trace_init(struct rp_kernel *k)
{
	struct rp_trace *t = &k->trace;

	t->lock = kernel_lock_new(k);
	t->size = k->opt.trace_events;
	t->ring = t->size ? kernel_alloc(t->size * sizeof(*t->ring)) : NULL;
	t->next = 1;
}

void trace_finish(struct rp_kernel *k)
{
	free(k->trace.ring);
	kernel_lock_free(k, k->trace.lock);
}

/* Advances the clock by one event and returns it; the lock is held. */
static uint64_t hlc_advance(struct rp_kernel *k, rp_ms now)
{
	uint64_t wall = (uint64_t)(now + k->opt.wall_offset)
			<< HLC_COUNTER_BITS;
	struct rp_trace *t = &k->trace;

	t->hlc = wall > t->hlc ? wall : t->hlc + 1;
	return t->hlc;
}

void trace_event(struct rp_kernel *k, rp_ms now, enum rp_trace_type type,
		 const struct rp_trace_subject *about, const char *fmt, ...)
{
	struct rp_trace *t = &k->trace;
	struct rp_trace_event *e;
	va_list ap;

	if (!t->size)
		return;
	kernel_lock(k, t->lock);
	e = &t->ring[t->next % t->size];
	e->seq = t->next++;
	e->hlc = hlc_advance(k, now);
	e->type = type;
	str_copy(e->key, sizeof(e->key), about->key);
	str_copy(e->team, sizeof(e->team), about->team);
	str_copy(e->target, sizeof(e->target),
		 str_of(about->target ? about->target : ""));
	e->task = about->task;
	va_start(ap, fmt);
	vsnprintf(e->detail, sizeof(e->detail), fmt, ap);
	va_end(ap);
	kernel_unlock(k, t->lock);
}

uint64_t trace_stamp(struct rp_kernel *k, rp_ms now)
{
	uint64_t hlc;

	kernel_lock(k, k->trace.lock);
	hlc = hlc_advance(k, now);
	kernel_unlock(k, k->trace.lock);
	return hlc;
}

void trace_merge_stamp(struct rp_kernel *k, rp_ms now, uint64_t hlc)
{
	struct rp_trace *t = &k->trace;

	kernel_lock(k, t->lock);
	if (hlc > t->hlc)
		t->hlc = hlc;
	hlc_advance(k, now);
	kernel_unlock(k, t->lock);
}

/* Writes an event as a JSON line. */
static void write_event(const struct rp_kernel *k,
			const struct rp_trace_event *e, struct rp_writer *w)
{
	rp_writer_printf(w, "{\"hlc\":%llu,\"vm\":\"%s\",\"seq\":%llu",
			 (unsigned long long)e->hlc, k->opt.vm_name,
			 (unsigned long long)e->seq);
	rp_writer_printf(w, ",\"event\":\"%s\"", trace_names[e->type]);
	if (e->key[0])
		writer_json_string(w, ",\"key\":", str_of(e->key));
	if (e->task >= 0)
		rp_writer_printf(w, ",\"task\":%d", e->task);
	if (e->target[0])
		writer_json_string(w, ",\"target\":", str_of(e->target));
	if (e->team[0])
		writer_json_string(w, ",\"team\":", str_of(e->team));
	if (e->detail[0])
		writer_json_string(w, ",\"detail\":", str_of(e->detail));
	rp_writer_printf(w, "}\n");
}

/* Copies event seq; returns 0 when it was overwritten. */
static int copy_event(struct rp_trace *t, uint64_t seq,
		      struct rp_trace_event *e)
{
	*e = t->ring[seq % t->size];
	return e->seq == seq;
}

uint64_t rp_kernel_trace(struct rp_kernel *k, uint64_t since,
			 struct rp_writer *w)
{
	struct rp_trace *t = &k->trace;
	struct rp_trace_event e;
	uint64_t seq, end;
	int found;

	if (!t->size)
		return 0;
	kernel_lock(k, t->lock);
	end = t->next;
	kernel_unlock(k, t->lock);
	seq = since + t->size < end ? end - t->size : since;
	for (; seq < end; seq++) {
		kernel_lock(k, t->lock);
		found = copy_event(t, seq, &e);
		kernel_unlock(k, t->lock);
		if (found && seq)
			write_event(k, &e, w);
	}
	return end;
}
