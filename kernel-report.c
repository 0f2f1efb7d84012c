/* Metrics and status of the kernel. */

#include "rosemary-int.h"

void write_counter(struct rp_writer *w, const char *name, uint64_t value)
{
	rp_writer_printf(w, "rosemary_%s %llu\n", name,
			 (unsigned long long)value);
}

static void add_dispatch(struct rp_dispatch_counters *sum,
			 const struct rp_dispatch_counters *c)
{
	sum->jobs += c->jobs;
	sum->complete += c->complete;
	sum->failed += c->failed;
	sum->refused += c->refused;
	sum->starts += c->starts;
	sum->resends += c->resends;
	sum->hedges += c->hedges;
	sum->lookups += c->lookups;
	sum->voids += c->voids;
	sum->stops += c->stops;
	sum->late_replies += c->late_replies;
	sum->violations += c->violations;
}

static void write_dispatch(struct rp_writer *w,
			   const struct rp_dispatch_counters *c)
{
	write_counter(w, "jobs_total", c->jobs);
	write_counter(w, "jobs_complete_total", c->complete);
	write_counter(w, "jobs_failed_total", c->failed);
	write_counter(w, "jobs_refused_total", c->refused);
	write_counter(w, "starts_total", c->starts);
	write_counter(w, "resends_total", c->resends);
	write_counter(w, "hedges_total", c->hedges);
	write_counter(w, "lookups_total", c->lookups);
	write_counter(w, "voids_total", c->voids);
	write_counter(w, "stops_total", c->stops);
	write_counter(w, "late_replies_total", c->late_replies);
	write_counter(w, "invariant_violations_total", c->violations);
}

static void write_submissions(struct rp_kernel *k, struct rp_writer *w)
{
	struct rp_sub_counters sum = { 0 };
	size_t records = 0, retained = 0;
	unsigned i;

	for (i = 0; i < RP_SUB_SHARDS; i++) {
		struct rp_sub_shard *s = &k->subs[i];

		kernel_lock(k, s->lock);
		sum.submitted += s->counters.submitted;
		sum.joined += s->counters.joined;
		sum.conflicts += s->counters.conflicts;
		sum.refused += s->counters.refused;
		sum.dropped_answers += s->counters.dropped_answers;
		records += s->nrecords;
		retained += s->retained_bytes;
		kernel_unlock(k, s->lock);
	}
	write_counter(w, "submissions_total", sum.submitted);
	write_counter(w, "submissions_joined_total", sum.joined);
	write_counter(w, "submissions_conflict_total", sum.conflicts);
	write_counter(w, "submissions_not_run_total", sum.refused);
	write_counter(w, "answers_dropped_total", sum.dropped_answers);
	write_counter(w, "records", records);
	write_counter(w, "retained_bytes", retained);
}

void rp_kernel_metrics(struct rp_kernel *k, struct rp_writer *w)
{
	struct rp_dispatch_counters sum = { 0 };
	size_t queued = 0, in_flight = 0;
	apr_hash_index_t *h;
	unsigned i;

	for (i = 0; i < RP_DISPATCH_SHARDS; i++) {
		struct rp_dispatch *d = &k->dispatch[i];

		kernel_lock(k, d->lock);
		add_dispatch(&sum, &d->counters);
		for (h = apr_hash_first(NULL, d->services); h;
		     h = apr_hash_next(h)) {
			struct rp_service *svc = apr_hash_this_val(h);

			queued += svc->nqueued;
			in_flight += svc->in_flight;
		}
		kernel_unlock(k, d->lock);
	}
	write_dispatch(w, &sum);
	write_counter(w, "queued_tasks", queued);
	write_counter(w, "in_flight_tasks", in_flight);
	write_submissions(k, w);
	kernel_lock(k, k->node.lock);
	write_counter(w, "platform_reads_total", k->node.platform_reads);
	write_counter(w, "platform_writes_total", k->node.platform_writes);
	write_counter(w, "control_messages_total", k->node.peer_messages);
	write_counter(w, "control_bytes_total", k->node.peer_bytes);
	write_counter(w, "relays_waiting", apr_hash_count(k->node.relays));
	kernel_unlock(k, k->node.lock);
	table_write_metrics(k, w);
	claim_write_metrics(k, w);
}

static void write_target(struct rp_writer *w, const struct rp_target *t)
{
	writer_json_string(w, "{\"name\":", str_of(t->name));
	writer_json_string(w,
			   ",\"failure_domain\":", str_of(t->failure_domain));
	rp_writer_printf(w,
			 ",\"listed\":%d,\"leaving\":%d,\"weight\":%d,"
			 "\"limit\":%d,\"in_flight\":%d,\"open\":%d,"
			 "\"mean_ms\":%.1f,\"starts\":%llu,\"failed\":%llu,"
			 "\"busy\":%llu}",
			 t->listed, t->leaving, t->weight, target_limit(t),
			 t->in_flight, target_available(t), t->run_time.mean,
			 (unsigned long long)t->starts,
			 (unsigned long long)t->failed,
			 (unsigned long long)t->busy);
}

static void write_service(struct rp_writer *w, const struct rp_service *svc)
{
	size_t i;

	writer_json_string(w, "{\"name\":", str_of(svc->name));
	rp_writer_printf(w, ",\"queued\":%zu,\"in_flight\":%zu,\"targets\":[",
			 svc->nqueued, svc->in_flight);
	for (i = 0; i < svc->ntargets; i++) {
		if (i)
			rp_writer_printf(w, ",");
		write_target(w, svc->targets[i]);
	}
	rp_writer_printf(w, "]}");
}

void rp_kernel_status(struct rp_kernel *k, rp_ms now, struct rp_writer *w)
{
	const char *comma = "";
	apr_hash_index_t *h;
	unsigned i;

	writer_json_string(w, "{\"vm\":", str_of(k->opt.vm_name));
	writer_json_string(
		w, ",\"failure_domain\":", str_of(k->opt.failure_domain));
	rp_writer_printf(w, ",\"incarnation\":%llu,\"draining\":%d",
			 (unsigned long long)k->opt.incarnation,
			 atomic_load(&k->draining));
	member_write_status(k, now, w);
	rp_writer_printf(w, ",\"services\":[");
	for (i = 0; i < RP_DISPATCH_SHARDS; i++) {
		struct rp_dispatch *d = &k->dispatch[i];

		kernel_lock(k, d->lock);
		for (h = apr_hash_first(NULL, d->services); h;
		     h = apr_hash_next(h)) {
			rp_writer_printf(w, "%s", comma);
			write_service(w, apr_hash_this_val(h));
			comma = ",";
		}
		kernel_unlock(k, d->lock);
	}
	rp_writer_printf(w, "]}\n");
}
