/* Encodes and decodes answers as messages between entry VMs. */

#include "rosemary-int.h"

#include <stdlib.h>
#include <string.h>

static ProtobufCBinaryData bytes_of(struct rp_str s)
{
	ProtobufCBinaryData b = { s.len, (uint8_t *)s.ptr };

	return b;
}

void relay_pack_answer(const struct rp_answer *a, RpRelayAnswer *msg)
{
	RpResult *results;
	size_t i;

	rp_relay_answer__init(msg);
	msg->state = (int32_t)a->state;
	msg->code = (int32_t)a->status.code;
	msg->step = (int32_t)a->status.step;
	msg->peer = (char *)a->status.peer;
	msg->message = (char *)a->status.message;
	msg->may_have_run = a->may_have_run != 0;
	msg->retry_after_ms = a->retry_after;
	if (!a->nresults)
		return;
	msg->n_results = a->nresults;
	msg->results = kernel_alloc(a->nresults * sizeof(RpResult *));
	results = kernel_alloc(a->nresults * sizeof(*results));
	for (i = 0; i < a->nresults; i++) {
		const struct rp_blob *body = a->results[i].body;

		rp_result__init(&results[i]);
		results[i].id = bytes_of(a->results[i].id);
		results[i].body.data = (uint8_t *)body->data;
		results[i].body.len = body->len;
		msg->results[i] = &results[i];
	}
}

void relay_pack_free(RpRelayAnswer *msg)
{
	if (msg->n_results)
		free(msg->results[0]);
	free(msg->results);
}

/* Makes a submission that holds only the task ids of the results. */
static struct rp_submission *result_ids(const RpRelayAnswer *msg)
{
	struct rp_submission_spec spec = { .ntasks = msg->n_results };
	struct rp_task_spec *tasks =
		kernel_alloc((msg->n_results + 1) * sizeof(*tasks));
	struct rp_submission *sub;
	size_t i;

	for (i = 0; i < msg->n_results; i++) {
		tasks[i].id.ptr = (const char *)msg->results[i]->id.data;
		tasks[i].id.len = msg->results[i]->id.len;
	}
	spec.tasks = tasks;
	sub = rp_submission_new(&spec);
	free(tasks);
	if (!sub)
		abort();
	return sub;
}

static void unpack_results(const RpRelayAnswer *msg, struct rp_answer *a)
{
	size_t i;

	a->sub = result_ids(msg);
	a->nresults = msg->n_results;
	a->results = kernel_alloc(a->nresults * sizeof(*a->results));
	for (i = 0; i < a->nresults; i++) {
		const ProtobufCBinaryData *body = &msg->results[i]->body;

		a->results[i].id = a->sub->tasks[i].id;
		a->results[i].body = rp_blob_new(body->data, body->len);
		if (!a->results[i].body)
			abort();
		a->bytes += body->len + sizeof(*a->results) +
			    sizeof(struct rp_blob);
	}
}

struct rp_answer *relay_unpack_answer(const RpRelayAnswer *msg)
{
	struct rp_status st;
	struct rp_answer *a;

	rp_status_set(&st, (enum rp_code)msg->code, (enum rp_step)msg->step,
		      msg->peer, "%s", msg->message);
	a = answer_status((enum rp_state)msg->state, &st, msg->retry_after_ms);
	a->may_have_run = msg->may_have_run;
	if (msg->n_results)
		unpack_results(msg, a);
	return a;
}
