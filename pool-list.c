/*
 * Lists of a target's runs between an agent and the leader.
 *
 * Both keep the list that was sent last. A run that is in it is named by its
 * index there, and a list with the same runs is not sent at all, but for their
 * progress.
 */

#include "pool.h"

#include <stdio.h>
#include <stdlib.h>

#define ID_DIGITS 16 /* hexadecimal, of an id that is sent as a number */

static int same_runs(const struct pool_list *l,
		     const struct sched_target_reply *r)
{
	size_t i;

	if (l->n != r->nruns)
		return 0;
	for (i = 0; i < l->n; i++)
		if (l->runs[i].run != r->runs[i].run ||
		    !str_eq(str_of(l->runs[i].task), r->runs[i].task))
			return 0;
	return 1;
}

/* Returns the index of the run from 1, or 0 if it is not in the list. */
static uint32_t find_run(const struct pool_list *l, struct rp_str task,
			 uint32_t run)
{
	size_t i;

	for (i = 0; i < l->n; i++)
		if (l->runs[i].run == run &&
		    str_eq(str_of(l->runs[i].task), task))
			return (uint32_t)i + 1;
	return 0;
}

void pool_list_set(struct pool_list *l, const struct sched_target_reply *r)
{
	/* The names may be those of the list that is replaced. */
	struct pool_run *copy = malloc((r->nruns + 1) * sizeof(*copy));
	size_t i;

	for (i = 0; i < r->nruns; i++) {
		str_copy(copy[i].task, sizeof(copy[i].task), r->runs[i].task);
		copy[i].run = r->runs[i].run;
	}
	free(l->runs);
	l->runs = copy;
	l->n = r->nruns;
	l->incarnation = r->incarnation;
}

void pool_list_clear(struct pool_list *l)
{
	l->n = 0;
	l->incarnation = 0;
}

void pool_list_finish(struct pool_list *l)
{
	free(l->runs);
	l->runs = NULL;
	pool_list_clear(l);
}

/* Writes the name to a buffer of SCHED_TASK_NAME_MAX bytes. */
static struct rp_str join_name(const PoolListedRun *msg, char *name)
{
	char id[ID_DIGITS + 1];

	snprintf(id, sizeof(id), "%016llx", (unsigned long long)msg->id);
	sched_task_name(name, id, msg->step, msg->index);
	return str_of(name);
}

/* Returns 0 if the task's name cannot be sent in parts. */
static int split_name(struct rp_str task, PoolListedRun *msg)
{
	char name[SCHED_TASK_NAME_MAX], joined[SCHED_TASK_NAME_MAX];
	unsigned long long id;
	unsigned step, index;

	str_copy(name, sizeof(name), task);
	if (sscanf(name, "%16llx.0.%u.%u", &id, &step, &index) != 3)
		return 0;
	msg->id = id;
	msg->step = step;
	msg->index = index;
	if (str_eq(join_name(msg, joined), task))
		return 1;
	msg->id = msg->step = msg->index = 0;
	return 0;
}

/* --- on the agent -------------------------------------------------------- */

static void *list_new(size_t n, size_t size)
{
	return calloc(n + 1, size);
}

void pool_list_message_init(struct pool_list_message *m,
			    const struct sched_target_reply *r)
{
	m->runs = list_new(r->nruns + r->nends, sizeof(*m->runs));
	m->run_ptrs = list_new(r->nruns, sizeof(*m->run_ptrs));
	m->percents = list_new(r->nruns, sizeof(*m->percents));
	m->ends = list_new(r->nends, sizeof(*m->ends));
	m->end_ptrs = list_new(r->nends, sizeof(*m->end_ptrs));
	m->names = list_new(r->nruns + r->nends, sizeof(*m->names));
}

void pool_list_message_finish(struct pool_list_message *m)
{
	free(m->runs);
	free(m->run_ptrs);
	free(m->percents);
	free(m->ends);
	free(m->end_ptrs);
	free(m->names);
}

/* Encodes a run as item i of m->runs. */
static PoolListedRun *encode_run(struct pool_list_message *m, size_t i,
				 struct rp_str task, uint32_t run,
				 const struct pool_list *before)
{
	PoolListedRun *msg = &m->runs[i];

	pool_listed_run__init(msg);
	msg->listed = find_run(before, task, run);
	if (msg->listed)
		return msg;
	msg->run = run;
	if (split_name(task, msg))
		return msg;
	str_copy(m->names[i], sizeof(m->names[i]), task);
	msg->task = m->names[i];
	return msg;
}

static void encode_ends(struct pool_list_message *m,
			const struct pool_list *before,
			const struct sched_target_reply *r, PoolReply *msg)
{
	size_t i;

	for (i = 0; i < r->nends; i++) {
		PoolListedEnd *end = m->end_ptrs[i] = &m->ends[i];

		pool_listed_end__init(end);
		end->number = r->ends[i].number;
		end->how = r->ends[i].how;
		end->run = encode_run(m, r->nruns + i, r->ends[i].task,
				      r->ends[i].run, before);
	}
	msg->ends = m->end_ptrs;
	msg->n_ends = r->nends;
}

static void encode_runs(struct pool_list_message *m,
			const struct pool_list *before,
			const struct sched_target_reply *r, PoolReply *msg)
{
	size_t i;

	msg->same_runs = same_runs(before, r);
	for (i = 0; i < r->nruns; i++) {
		m->run_ptrs[i] = encode_run(m, i, r->runs[i].task,
					    r->runs[i].run, before);
		m->percents[i] = r->runs[i].percent > 0
					 ? (uint32_t)r->runs[i].percent
					 : 0;
	}
	msg->runs = m->run_ptrs;
	msg->n_runs = msg->same_runs ? 0 : r->nruns;
	msg->percents = m->percents;
	msg->n_percents = r->nruns;
}

void pool_list_encode(struct pool_list_message *m, struct pool_list *before,
		      const struct sched_target_reply *r, PoolReply *msg)
{
	encode_ends(m, before, r, msg);
	encode_runs(m, before, r, msg);
	msg->no_incarnation = !r->incarnation;
	msg->incarnation = r->incarnation == before->incarnation
				   ? 0
				   : (uint64_t)r->incarnation;
	pool_list_set(before, r);
}

/* --- on the leader ------------------------------------------------------- */

/* Returns -1 if the run refers to none of the list before. */
static int decode_run(const PoolListedRun *msg, const struct pool_list *before,
		      char *name, struct rp_str *task, uint32_t *run)
{
	if (!msg || msg->listed > before->n)
		return -1;
	*run = msg->listed ? before->runs[msg->listed - 1].run : msg->run;
	if (msg->listed)
		*task = str_of(before->runs[msg->listed - 1].task);
	else if (msg->task[0])
		*task = str_of(msg->task);
	else
		*task = join_name(msg, name);
	return 0;
}

static int decode_runs(struct pool_list_reply *r, const PoolReply *msg,
		       const struct pool_list *before)
{
	size_t i, n = msg->same_runs ? before->n : msg->n_runs;

	if (msg->n_percents != n)
		return -1;
	for (i = 0; i < n; i++) {
		struct sched_run *run = &r->runs[i];

		run->percent = (int)msg->percents[i];
		if (msg->same_runs) {
			run->task = str_of(before->runs[i].task);
			run->run = before->runs[i].run;
		} else if (decode_run(msg->runs[i], before, r->names[i],
				      &run->task, &run->run) < 0) {
			return -1;
		}
	}
	r->reply.runs = r->runs;
	r->reply.nruns = n;
	return 0;
}

static int decode_ends(struct pool_list_reply *r, const PoolReply *msg,
		       const struct pool_list *before)
{
	size_t i;

	for (i = 0; i < msg->n_ends; i++) {
		struct sched_end *e = &r->ends[i];

		e->number = msg->ends[i]->number;
		e->how = msg->ends[i]->how <= SCHED_END_STOPPED
				 ? (enum sched_end_how)msg->ends[i]->how
				 : SCHED_END_STOPPED;
		if (decode_run(msg->ends[i]->run, before,
			       r->names[r->reply.nruns + i], &e->task,
			       &e->run) < 0)
			return -1;
	}
	r->reply.ends = r->ends;
	r->reply.nends = msg->n_ends;
	return 0;
}

int pool_list_decode(struct pool_list_reply *r, const struct pool_list *before,
		     const PoolReply *msg)
{
	size_t nruns = msg->n_runs + before->n;

	r->runs = list_new(nruns, sizeof(*r->runs));
	r->ends = list_new(msg->n_ends, sizeof(*r->ends));
	r->names = list_new(nruns + msg->n_ends, sizeof(*r->names));
	r->reply.incarnation = (int64_t)msg->incarnation;
	if (!msg->incarnation && !msg->no_incarnation)
		r->reply.incarnation = before->incarnation;
	if (decode_runs(r, msg, before) < 0 || decode_ends(r, msg, before) < 0)
		return -1;
	return 0;
}

void pool_list_reply_finish(struct pool_list_reply *r)
{
	free(r->runs);
	free(r->ends);
	free(r->names);
}
