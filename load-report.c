/* The report of a run, as text or JSON. */

#include "load.h"

#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics_double.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The values of one measure for all complete jobs, sorted. */
struct sample {
	double *list;
	size_t len;
};

enum measure {
	MEASURE_RESPONSE, /* ms, from the planned send time */
	MEASURE_IDEAL,	  /* ms, load_job_ideal_ms() */
	MEASURE_RATIO,	  /* response time to ideal time */
	MEASURE_OVERHEAD, /* us, from the first call, less the longest task */
	MEASURE_LATE,	  /* us, from planned to actual send time */
	MEASURES,
};

static const char *const measure_names[] = {
	[MEASURE_RESPONSE] = "response_ms",
	[MEASURE_IDEAL] = "ideal_ms",
	[MEASURE_RATIO] = "ratio",
	[MEASURE_OVERHEAD] = "overhead_us",
	[MEASURE_LATE] = "generator_late_us",
};

/* Returns one measure of a complete job. */
static double measure_job(enum measure m, const struct load_job *job,
			  const struct load_settings *set)
{
	double response = (double)(job->done_us - job->planned_us) / 1000;
	double ideal = load_job_ideal_ms(job, set);

	switch (m) {
	case MEASURE_RESPONSE:
		return response;
	case MEASURE_IDEAL:
		return ideal;
	case MEASURE_RATIO:
		return ideal > 0 ? response / ideal : 1;
	case MEASURE_OVERHEAD:
		return (double)(job->done_us - job->sent_us) -
		       job->longest_task_ms * 1000;
	case MEASURE_LATE:
	case MEASURES:
		break;
	}
	return (double)(job->sent_us - job->planned_us);
}

/* Collects and sorts a measure over all complete jobs. */
static void sample_init(struct sample *s, enum measure m,
			const struct load_settings *set,
			const struct load_plan *plan)
{
	size_t i;

	s->len = 0;
	s->list = calloc(plan->njobs + 1, sizeof(*s->list));
	if (!s->list)
		abort();
	for (i = 0; i < plan->njobs; i++)
		if (plan->jobs[i].state == LOAD_COMPLETE)
			s->list[s->len++] = measure_job(m, &plan->jobs[i], set);
	gsl_sort(s->list, 1, s->len);
}

/* Returns percentiles of a sample; an empty object for an empty sample. */
static json_t *sample_json(const struct sample *s)
{
	static const struct {
		const char *name;
		double fraction;
	} quantiles[] = {
		{ "p50", 0.5 }, { "p90", 0.9 }, { "p99", 0.99 }, { "max", 1 }
	};
	json_t *o = json_object();
	size_t i;

	for (i = 0; s->len && i < sizeof(quantiles) / sizeof(*quantiles); i++)
		json_object_set_new(
			o, quantiles[i].name,
			json_real(gsl_stats_quantile_from_sorted_data(
				s->list, 1, s->len, quantiles[i].fraction)));
	return o;
}

/* Increments a counter of the object. */
static void increment(json_t *o, const char *name)
{
	json_t *v = json_object_get(o, name);

	json_object_set_new(o, name, json_integer(json_integer_value(v) + 1));
}

/* Adds counts of jobs by state, and of incomplete jobs by error. */
static void add_states(json_t *report, const struct load_plan *plan)
{
	json_t *states = json_object(), *errors = json_object();
	size_t i;

	for (i = 0; i < plan->njobs; i++) {
		const struct load_job *job = &plan->jobs[i];

		increment(states, load_state_name(job->state));
		if (job->state != LOAD_COMPLETE && *job->error)
			increment(errors, job->error);
	}
	json_object_set_new(report, "states", states);
	json_object_set_new(report, "errors", errors);
}

/*
 * Adds the numbers of jobs, tasks and calls, and the completed tasks per second
 * from the start of the run to the last answer.
 */
static void add_totals(json_t *report, const struct load_plan *plan)
{
	size_t i, tasks_done = 0, calls = 0;
	int64_t last_done_us = 0;

	for (i = 0; i < plan->njobs; i++) {
		const struct load_job *job = &plan->jobs[i];

		calls += job->ncalls;
		if (job->state != LOAD_COMPLETE)
			continue;
		tasks_done += job->ntasks;
		if (job->done_us > last_done_us)
			last_done_us = job->done_us;
	}
	json_object_set_new(report, "jobs",
			    json_integer((json_int_t)plan->njobs));
	json_object_set_new(report, "tasks",
			    json_integer((json_int_t)plan->ntasks));
	json_object_set_new(report, "tasks_done",
			    json_integer((json_int_t)tasks_done));
	json_object_set_new(report, "starts_per_s",
			    json_real(last_done_us
					      ? (double)tasks_done * 1e6 /
							(double)last_done_us
					      : 0));
	json_object_set_new(report, "caller_calls",
			    json_integer((json_int_t)calls));
}

/* Returns the sum of the named counters. */
static json_int_t sum_counters(json_t *counters, const char *const *names)
{
	double sum = 0;

	for (; *names; names++)
		sum += json_number_value(json_object_get(counters, *names));
	return (json_int_t)sum;
}

/*
 * Adds the numbers of calls and messages between all processes, and the least
 * number possible: one call for each job and one for each start of a task.
 */
static void add_message_counts(json_t *report, const struct load_plan *plan,
			       json_t *targets, json_t *vms)
{
	static const char *const target_names[] = { "starts",	     "busy",
						    "double_starts", "lookups",
						    "voids",	     NULL };
	static const char *const caller_names[] = { "rosemaryd_http_requests_"
						    "total",
						    NULL };
	static const char *const peer_names[] = { "rosemaryd_peer_messages_out_"
						  "total",
						  NULL };
	static const char *const platform_names[] = { "rosemaryd_platform_"
						      "calls_read_total",
						      "rosemaryd_platform_"
						      "calls_commit_total",
						      NULL };
	json_t *nstarts = json_object_get(targets, "starts");
	json_int_t starts = (json_int_t)json_number_value(nstarts);
	json_int_t to_targets = sum_counters(targets, target_names);
	json_int_t callers = sum_counters(vms, caller_names);
	json_int_t peers = sum_counters(vms, peer_names);
	json_int_t platform = sum_counters(vms, platform_names);

	json_object_set_new(
		report, "messages",
		json_pack("{s:I, s:I, s:I, s:I, s:I, s:I}", "sent",
			  to_targets + callers + peers + platform, "fewest",
			  (json_int_t)plan->njobs + starts, "of_callers",
			  callers, "to_targets", to_targets, "between_vms",
			  peers, "to_platform", platform));
	json_object_set_new(report, "targets", json_incref(targets));
}

/* Adds the numbers of violated guarantees by kind. */
static void add_violations(json_t *report, const struct load_check *check)
{
	json_t *o = json_object();

	const struct {
		const char *name;
		size_t n;
	} kinds[] = {
		{ "double_starts", check->double_starts },
		{ "started_twice", check->started_twice },
		{ "complete_without_start", check->complete_without_start },
		{ "not_run_but_started", check->not_run_but_started },
		{ "wrong_answers", check->wrong_answers },
		{ "answers_differ", check->answers_differ },
		{ "targets_unread", check->targets_unread },
	};
	size_t i;

	for (i = 0; i < sizeof(kinds) / sizeof(*kinds); i++)
		json_object_set_new(o, kinds[i].name,
				    json_integer((json_int_t)kinds[i].n));
	json_object_set_new(report, "targets_read",
			    json_integer((json_int_t)check->targets_read));
	json_object_set_new(
		report, "idempotent_repeats",
		json_integer((json_int_t)check->repeated_idempotent));
	json_object_set_new(report, "faults", o);
}

/* --- printing --------------------------------------------------------- */

/* Prints names and values; nested objects are indented. */
static void print_object(json_t *o, int depth)
{
	const char *name;
	json_t *v;

	json_object_foreach(o, name, v)
	{
		printf("%*s%-*s", 2 * depth, "", 26 - 2 * depth, name);
		if (json_is_object(v)) {
			printf("\n");
			print_object(v, depth + 1);
		} else if (json_is_real(v)) {
			printf(" %.1f\n", json_real_value(v));
		} else {
			printf(" %lld\n", (long long)json_integer_value(v));
		}
	}
}

void load_report(const struct load_settings *set, const struct load_plan *plan,
		 const struct load_check *check,
		 const struct load_counters *before,
		 const struct load_counters *after)
{
	json_t *vms = load_counters_diff(before->vms, after->vms);
	json_t *targets = load_counters_diff(before->targets, after->targets);
	json_t *report = json_object();
	int m;

	add_totals(report, plan);
	for (m = 0; m < MEASURES; m++) {
		struct sample s;

		sample_init(&s, m, set, plan);
		json_object_set_new(report, measure_names[m], sample_json(&s));
		free(s.list);
	}
	add_states(report, plan);
	if (set->ntargets)
		add_message_counts(report, plan, targets, vms);
	add_violations(report, check);
	json_object_set_new(report, "entry_vm_counters", vms);
	json_object_set_new(report, "platform_counts",
			    load_counters_diff(before->platform,
					       after->platform));
	json_decref(targets);
	if (set->json) {
		json_dumpf(report, stdout,
			   JSON_INDENT(2) | JSON_REAL_PRECISION(6));
		printf("\n");
	} else {
		print_object(report, 0);
	}
	json_decref(report);
}
