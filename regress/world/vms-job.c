/*
 * Jobs of the simulated callers on the entry VMs that receive them, as
 * pool-request.c and pool-relay.c have them.
 */

#include "vms.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ANSWER_MARGIN_MS 20

/* --- on the leader ---------------------------------------------------- */

static struct vms *vms_of(const struct sched *s)
{
	return s->user; /* the world is the first member */
}

/* A message to the member of the next mark. NULL: it is lost. */
static struct vms_message *send_marked(struct vms_member *m, enum vms_kind kind,
				       uint64_t seq)
{
	struct vms_message *msg;

	m->sent_mark++;
	if (!m->link)
		return NULL;
	msg = vms_send(m->link, VMS_MEMBER, kind);
	msg->mark = m->sent_mark;
	msg->seq = seq;
	return msg;
}

static uint64_t send_answer(struct vm *vm, struct vms_member *m, uint64_t seq,
			    PoolAnswer__Outcome outcome)
{
	struct vms_message *msg;

	if (m == &vm->self) {
		vms_answer_received(vm, seq, outcome);
		return 0;
	}
	m->answers[m->nanswers % VMS_ANSWERS].seq = seq;
	m->answers[m->nanswers++ % VMS_ANSWERS].outcome = outcome;
	msg = send_marked(m, VMS_ANSWER, seq);
	if (msg)
		msg->outcome = outcome;
	return m->sent_mark;
}

static uint64_t on_answer(struct sched *s, struct sched_job *job,
			  const PoolAnswer *a)
{
	struct vms *o = vms_of(s);
	struct vm *vm = vms_vm_of(o, s);

	vms_trace(o, "vm%d answers %s: %d %s", vm->index, job->id, a->outcome,
		  a->reason);
	if (!job->owner)
		return 0;
	return send_answer(vm, job->owner, job->seq, a->outcome);
}

static uint64_t on_progress(struct sched *s, struct sched_job *job,
			    const struct sched_task *task)
{
	struct vm *vm = vms_vm_of(vms_of(s), s);
	struct vms_member *m = job->owner;
	uint32_t index = (uint32_t)(task - job->tasks);
	struct vms_message *msg;

	if (!m || task->state != SCHED_DONE)
		return 0;
	if (m == &vm->self) {
		vms_progress_received(vm, job->seq, index);
		return 0;
	}
	msg = send_marked(m, VMS_PROGRESS, job->seq);
	if (msg)
		msg->done[0] = index;
	return m->sent_mark;
}

static struct world_event call_of(struct sched *s, struct sched_target *t,
				  int kind)
{
	struct world_event call = { .kind = kind, .fence = s->fence };

	snprintf(call.id, sizeof(call.id), "%s", t->listing.id);
	call.target = world_find_target(&vms_of(s)->w, t);
	return call;
}

static void on_start(struct sched *s, struct sched_target *t,
		     struct sched_task *task, int64_t until)
{
	struct world_event call;

	vms_trace(vms_of(s), "vm%d starts %s run %u on %s",
		  vms_vm_of(vms_of(s), s)->index, task->name, task->run,
		  t->listing.id);
	call = call_of(s, t, WORLD_START);
	snprintf(call.task, sizeof(call.task), "%s", task->name);
	call.run = task->run;
	call.until = until;
	call.need = task->job->steps[task->step].need;
	if (vms_order_start(vms_vm_of(vms_of(s), s), t, task, &call))
		return;
	vms_of(s)->w.calling = vms_vm_of(vms_of(s), s);
	world_ops.start(s, t, task, until);
}

static void on_stop(struct sched *s, struct sched_target *t, struct rp_str task,
		    uint32_t run)
{
	struct world_event call;

	vms_trace(vms_of(s), "vm%d stops %.*s run %u on %s",
		  vms_vm_of(vms_of(s), s)->index, (int)task.len, task.ptr, run,
		  t->listing.id);
	call = call_of(s, t, WORLD_STOP);
	str_copy(call.task, sizeof(call.task), task);
	call.run = run;
	if (vms_order_call(vms_vm_of(vms_of(s), s), t, &call))
		return;
	vms_of(s)->w.calling = vms_vm_of(vms_of(s), s);
	world_ops.stop(s, t, task, run);
}

static void on_hold(struct sched *s, struct sched_target *t, int64_t until,
		    uint64_t acked_end, rp_ms wait)
{
	struct world_event call = call_of(s, t, WORLD_HOLD);

	call.until = until;
	call.acked_end = acked_end;
	call.wait_until = wait;
	if (vms_order_call(vms_vm_of(vms_of(s), s), t, &call))
		return;
	vms_of(s)->w.calling = vms_vm_of(vms_of(s), s);
	world_ops.hold(s, t, until, acked_end, wait);
}

static void on_fenced(struct sched *s, struct sched_target *t)
{
	struct vm *vm = vms_vm_of(vms_of(s), s);

	vms_trace(vms_of(s), "vm%d is fenced by %s", vm->index, t->listing.id);
	vm->fenced = 1;
}

static void on_target_removed(struct sched *s, struct sched_target *t)
{
	vms_orders_of_target_drop(vms_vm_of(vms_of(s), s), t->listing.id);
}

static void on_log(struct sched *s, const char *event,
		   const struct sched_target *t, const struct sched_task *task,
		   const char *reason)
{
	vms_trace(vms_of(s), "vm%d %s %s %s run %u %s",
		  vms_vm_of(vms_of(s), s)->index, event, t ? t->listing.id : "",
		  task ? task->name : "", task ? task->run : 0, reason);
}

static uint64_t on_losses(struct sched *s, struct sched_job *job)
{
	(void)s;
	(void)job;
	return 0;
}

static uint64_t on_domains(struct sched *s, struct sched_job *job)
{
	struct vm *vm = vms_vm_of(vms_of(s), s);
	struct vms_member *m = job->owner;
	struct vms_message told = { .seq = job->seq }, *msg;
	size_t i;

	if (!m)
		return 0;
	for (i = 0; i < job->ndomains; i++)
		told.domains |= 1u << (job->domains[i][0] - 'a');
	told.any_domain = job->any_former_domain;
	told.all_domains = job->domains_told;
	if (m == &vm->self) {
		vms_domains_received(vm, &told);
		return 0;
	}
	msg = send_marked(m, VMS_TOLD_DOMAINS, job->seq);
	if (msg) {
		msg->domains = told.domains;
		msg->any_domain = told.any_domain;
		msg->all_domains = told.all_domains;
	}
	return m->sent_mark;
}

static void on_log_loss(struct sched *s, const char *event,
			const struct sched_task *task,
			const struct sched_loss *loss, const char *reason)
{
	(void)s;
	(void)event;
	(void)task;
	(void)loss;
	(void)reason;
}

static void on_log_domain(const struct sched_target *t)
{
	(void)t;
}

static void on_log_move(struct sched *s, const struct sched_task *task,
			const struct sched_move *m)
{
	vms_trace(vms_of(s), "vm%d moves %s: %s",
		  vms_vm_of(vms_of(s), s)->index, task->name, m->reason);
}

const struct sched_ops vms_ops = {
	.start = on_start,
	.stop = on_stop,
	.hold = on_hold,
	.answer = on_answer,
	.fenced = on_fenced,
	.target_removed = on_target_removed,
	.progress = on_progress,
	.log = on_log,
	.losses = on_losses,
	.domains = on_domains,
	.log_loss = on_log_loss,
	.log_domain = on_log_domain,
	.log_move = on_log_move,
};

static int was_answered(struct vm *vm, struct vms_member *m,
			const struct vms_message *msg)
{
	size_t i;

	for (i = 0; i < VMS_ANSWERS && i < m->nanswers; i++) {
		if (m->answers[i].seq != msg->seq ||
		    (m->answers[i].outcome == POOL_ANSWER__OUTCOME__REJECTED &&
		     msg->former))
			continue;
		send_answer(vm, m, msg->seq, m->answers[i].outcome);
		return 1;
	}
	return 0;
}

void vms_schedule(struct vm *vm, struct vms_member *m,
		  const struct vms_message *msg)
{
	static char *const names[VMS_DOMAINS] = { "a", "b", "c" };
	char *domains[VMS_DOMAINS];
	PoolSubmit sub = *msg->job->sub;
	int i;

	if (was_answered(vm, m, msg))
		return;
	if (msg->owner_starts) {
		struct rp_str s = { (char *)sub.specification.data,
				    sub.specification.len };

		sub.specification_hash = str_hash(s);
		sub.specification.len = 0;
	}
	sub.seq = msg->seq;
	sub.former = msg->former;
	sub.age_ms = (uint32_t)msg->age;
	sub.left_ms = (uint32_t)msg->left;
	sub.done = (uint32_t *)msg->done;
	sub.n_done = msg->ndone;
	sub.any_domain = msg->any_domain;
	sub.presumes_domains = msg->presumes_domains;
	sub.domains = domains;
	for (i = 0; i < VMS_DOMAINS; i++)
		if (msg->domains & 1u << i)
			domains[sub.n_domains++] = names[i];
	if (m != &vm->self && sub.former == vm->lead.row.fence &&
	    vm->o->w.now - m->joined_at > (rp_ms)sub.age_ms)
		sub.former = 0;
	vms_trace(vm->o, "vm%d: job %s of vm%d seq %llu former %llx left %u",
		  vm->index, sub.id, m->vm, (unsigned long long)sub.seq,
		  (unsigned long long)sub.former, sub.left_ms);
	sched_submit(&vm->sched, m, &sub, vm->o->w.now);
	if (m->silent)
		sched_owner_silent(&vm->sched, m, 1, vm->o->w.now);
	vm->dispatch_due = 1;
}

/* --- on the entry VM -------------------------------------------------- */

static struct vms_request *find_request(struct vm *vm, uint64_t seq)
{
	struct vms_request *r;

	for (r = vm->requests; r; r = r->next)
		if (r->seq == seq)
			return r;
	return NULL;
}

static void close_request(struct vm *vm, struct vms_request *r)
{
	struct vms_request **at = &vm->requests;

	while (*at != r)
		at = &(*at)->next;
	*at = r->next;
	if (r->caller)
		r->caller->request = NULL;
	free(r);
}

static void may_be_started(struct vms_request *r)
{
	if (!r->started_fence || (!LEAD_IS_PROVISIONAL(r->started_fence) &&
				  LEAD_IS_PROVISIONAL(r->sent_fence)))
		r->started_fence = r->sent_fence;
}

int vms_request_started(struct vm *vm, uint64_t seq)
{
	struct vms_request *r = find_request(vm, seq);

	if (r)
		may_be_started(r);
	return r != NULL;
}

void vms_submit(struct vm *vm, struct vms_request *r)
{
	rp_ms now = vm->o->w.now;
	struct vms_message local, *msg = &local;

	if (!vm->leading && !(vm->leader_link && vm->leader_link->greeted))
		return;
	memset(&local, 0, sizeof(local));
	if (!vm->leading)
		msg = vms_send(vm->leader_link, VMS_LEADER, VMS_SUBMIT);
	msg->job = r->job;
	msg->seq = r->seq;
	msg->former = r->started_fence;
	msg->age = now - r->received_at;
	msg->left = r->deadline > now ? r->deadline - now : 0;
	memcpy(msg->done, r->done, sizeof(msg->done));
	msg->ndone = r->ndone;
	msg->domains = r->domains;
	msg->owner_starts = !vm->leading && vms_has_part(vm->o, VMS_AGENTS);
	if (r->presumes_domains && r->sent_fence != vm->lead.row.fence) {
		r->any_domain = 1;
		r->presumes_domains = 0;
	}
	r->presumes_domains |= !msg->owner_starts && !vm->leading;
	msg->any_domain = r->any_domain;
	msg->presumes_domains = !vm->leading;
	r->sent_fence = vm->lead.row.fence;
	if (!msg->owner_starts)
		may_be_started(r);
	if (vm->leading)
		vms_schedule(vm, &vm->self, msg);
}

/* Submitting a job may answer it, and free its request. */
void vms_resubmit(struct vm *vm)
{
	uint64_t seqs[VMS_CALLERS];
	struct vms_request *r;
	size_t n = 0, i;

	for (r = vm->requests; r && n < VMS_CALLERS; r = r->next)
		seqs[n++] = r->seq;
	for (i = 0; i < n; i++)
		if ((r = find_request(vm, seqs[i])))
			vms_submit(vm, r);
}

void vms_cancel_send(struct vm *vm, uint64_t seq)
{
	if (vm->leading) {
		sched_cancel(&vm->sched, &vm->self, seq, vm->o->w.now);
		vm->dispatch_due = 1;
	} else if (vm->leader_link) {
		vms_send(vm->leader_link, VMS_LEADER, VMS_CANCEL)->seq = seq;
	}
}

/* The caller is told; with no result it submits the job again. */
static void answer_caller(struct vms *o, struct vms_caller *c,
			  PoolAnswer__Outcome outcome)
{
	o->answered[outcome]++;
	if (outcome == POOL_ANSWER__OUTCOME__INCOMPLETE)
		c->resend_at = o->w.now + VMS_RESEND_MS;
}

void vms_answer_received(struct vm *vm, uint64_t seq,
			 PoolAnswer__Outcome outcome)
{
	struct vms_request *r = find_request(vm, seq);

	if (!r)
		return;
	if (r->caller)
		answer_caller(vm->o, r->caller, outcome);
	close_request(vm, r);
}

void vms_progress_received(struct vm *vm, uint64_t seq, uint32_t task)
{
	struct vms_request *r = find_request(vm, seq);
	size_t i;

	for (i = 0; r && i < r->ndone; i++)
		if (r->done[i] == task)
			return;
	if (r && r->ndone < VMS_TASKS)
		r->done[r->ndone++] = task;
}

void vms_domains_received(struct vm *vm, const struct vms_message *msg)
{
	struct vms_request *r = find_request(vm, msg->seq);

	if (!r)
		return;
	r->domains |= msg->domains;
	r->any_domain |= msg->any_domain;
	if (msg->all_domains)
		r->presumes_domains = 0;
}

static void abort_request(struct vm *vm, struct vms_request *r)
{
	vms_cancel_send(vm, r->seq);
	if (r->caller)
		answer_caller(vm->o, r->caller,
			      r->started_fence
				      ? POOL_ANSWER__OUTCOME__INCOMPLETE
				      : POOL_ANSWER__OUTCOME__REJECTED);
	close_request(vm, r);
}

int vms_callers_reach(const struct vms *o, const struct vm *vm)
{
	return !o->callers_cut || o->w.now >= o->cut_until[vm->domain];
}

static int is_over(const struct vm *vm, const struct vms_request *r)
{
	rp_ms now = vm->o->w.now;

	return now >= r->deadline + ANSWER_MARGIN_MS ||
	       (!r->sent_fence && !vm->leading &&
		now - vm->leader_alive_at >= VMS_NO_LEADER_MS);
}

void vms_requests_tick(struct vm *vm)
{
	struct vms_request *r, *next;

	for (r = vm->requests; r; r = next) {
		next = r->next;
		if (!r->caller && vms_callers_reach(vm->o, vm)) {
			vms_cancel_send(vm, r->seq);
			close_request(vm, r);
		} else if (is_over(vm, r)) {
			abort_request(vm, r);
		}
	}
}

/* The VM's process has ended: connections to its callers break. */
void vms_requests_drop(struct vm *vm)
{
	while (vm->requests) {
		struct vms_request *r = vm->requests;

		if (r->caller)
			r->caller->resend_at = vm->o->w.now + VMS_RESEND_MS;
		close_request(vm, r);
	}
}
