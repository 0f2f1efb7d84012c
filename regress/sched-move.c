/*
 * Runs that end late: which of them are moved, and what that costs. A run is
 * begun again from nothing elsewhere, so it is worth it only if its target is
 * at fault.
 */

#include <criterion/criterion.h>

#include <apr_general.h>
#include <math.h>
#include <stdlib.h>

#include "lead.h"
#include "world/world.h"

static const double equal[] = { 1.0 };
/* A third of the targets takes 1.3 times as long. */
static const double third_slow[] = { 1.0, 1.0, 1 / 1.3 };
static struct world w;
static struct sched s;

static void init_apr(void)
{
	apr_initialize();
}

TestSuite(sched_move, .init = init_apr, .timeout = 120);

static void end(void)
{
	cr_assert_eq(w.violations, 0, "%s", w.first_violation);
	sched_finish(&s);
	world_finish(&w);
}

/* 12 idle targets of equal speed, which is known from earlier runs. */
static void begin(uint64_t seed)
{
	world_init(&w, seed, 12, equal, 1);
	world_start_sched(&w, &s, NULL, LEAD_TOKEN(1));
	world_run_until(&w, w.now + 50);
	world_generate_load(&w, 0.5, 4000);
	world_run_until(&w, w.now + 2000);
}

/*
 * Submits jobs one after the other, of tasks that take work ms each, where the
 * caller's estimate is of estimate ms. Returns how many of them completed.
 */
static int submit_long(const char *queue, int njobs, int tasks, double estimate,
		       double work)
{
	int i, j, completed = 0;

	for (i = 0; i < njobs; i++) {
		struct world_job *job =
			world_submit(&w, queue, tasks, estimate, 1, 1500);

		for (j = 0; j < tasks; j++)
			job->task_work[j] = work;
		world_run_until(&w, w.now + 1600);
		completed += job->outcome == POOL_ANSWER__OUTCOME__COMPLETED;
	}
	return completed;
}

/* Guards against work thrown away where every target would take as long. */
Test(sched_move, a_long_job_stays_where_it_is)
{
	uint64_t seed;
	int completed = 0;

	for (seed = 1; seed <= 6; seed++) {
		begin(seed);
		w.moves = 0;
		completed += submit_long("digest", 6, 3, 500, 1400);
		cr_expect_eq(w.moves, 0, "seed %d: %d moves", (int)seed,
			     (int)w.moves);
		end();
	}
	cr_assert_geq(completed, 34, "%d of 36", completed);
}

/* The same with one task, where no other run of the job shows it. */
Test(sched_move, a_long_job_of_one_task_stays_where_it_is)
{
	uint64_t seed;
	int completed = 0;

	for (seed = 1; seed <= 6; seed++) {
		begin(seed);
		w.moves = 0;
		completed += submit_long("digest", 6, 1, 500, 1400);
		cr_expect_eq(w.moves, 0, "seed %d: %d moves", (int)seed,
			     (int)w.moves);
		end();
	}
	cr_assert_geq(completed, 34, "%d of 36", completed);
}

/*
 * The objective of a job that is seven times as long as estimated is further
 * away too. Guards against a run that is taken for late by the estimate.
 */
Test(sched_move, a_job_far_longer_than_estimated_is_not_late_for_that)
{
	uint64_t seed;
	int completed = 0;

	for (seed = 1; seed <= 6; seed++) {
		begin(seed);
		completed += submit_long("recheck", 6, 2, 170, 1190);
		end();
	}
	cr_assert_geq(completed, 32, "%d of 36", completed);
}

/*
 * Of many targets whose speeds are not known well, some look far faster than
 * they are. Guards against a run that is begun again there.
 */
Test(sched_move, a_target_that_only_looks_fast_is_no_reason)
{
	uint64_t seed;
	size_t i;
	int completed = 0;

	for (seed = 1; seed <= 6; seed++) {
		struct world_job *job;

		begin(seed);
		w.moves = 0;
		job = world_submit(&w, "digest", 1, 900, 1, 1500);
		job->task_work[0] = 1430;
		world_run_until(&w, w.now + 20);
		for (i = 0; i < 2; i++) {
			struct sched_target *t = s.targets[i];

			if (t->nruns)
				t = s.targets[2];
			t->log_slowdown = t->log_slowdown_base = -0.7;
			t->slowdown = exp(t->log_slowdown);
		}
		world_run_until(&w, w.now + 1600);
		completed += job->outcome == POOL_ANSWER__OUTCOME__COMPLETED;
		cr_expect_eq(w.moves, 0, "seed %d: %d moves", (int)seed,
			     (int)w.moves);
		end();
	}
	cr_assert_geq(completed, 5, "%d of 6", completed);
}

/* Guards against runs that stay on a target that makes no progress. */
Test(sched_move, a_run_on_a_target_that_hangs_is_moved)
{
	uint64_t seed;
	size_t i;
	int completed = 0;

	for (seed = 1; seed <= 6; seed++) {
		struct world_job *job;

		begin(seed);
		job = world_submit(&w, "recheck", 3, 200, 1, 1500);
		world_run_until(&w, w.now + 20);
		for (i = 0; i < 12; i++)
			if (w.targets[i].nruns) {
				w.targets[i].stalled = 1;
				break;
			}
		world_run_until(&w, w.now + 1600);
		completed += job->outcome == POOL_ANSWER__OUTCOME__COMPLETED;
		end();
	}
	cr_assert_eq(completed, 6, "%d of 6", completed);
}

/*
 * The same with one task, and no other run on the target, so that no evidence
 * tells the target's fault from a long job. As long as that shows, the job
 * would be lost in either case. Guards against a run that stays there for ever.
 */
Test(sched_move, a_lone_run_on_a_target_that_hangs_is_moved)
{
	uint64_t seed;
	size_t i;
	int completed = 0;

	for (seed = 1; seed <= 6; seed++) {
		struct world_job *job;

		begin(seed);
		job = world_submit(&w, "recheck", 1, 200, 1, 1500);
		world_run_until(&w, w.now + 20);
		for (i = 0; i < 12; i++)
			w.targets[i].stalled = w.targets[i].nruns > 0;
		world_run_until(&w, w.now + 1600);
		completed += job->outcome == POOL_ANSWER__OUTCOME__COMPLETED;
		end();
	}
	cr_assert_eq(completed, 6, "%d of 6", completed);
}

/* Guards against runs that stay on a target that has become slow. */
Test(sched_move, a_run_on_a_target_that_has_become_slow_is_moved)
{
	uint64_t seed;
	size_t i;
	int completed = 0;

	for (seed = 1; seed <= 6; seed++) {
		struct world_job *job;

		begin(seed);
		job = world_submit(&w, "digest", 3, 600, 1, 1500);
		world_run_until(&w, w.now + 20);
		for (i = 0; i < 12; i++)
			if (w.targets[i].nruns) {
				w.targets[i].slowdown = 6;
				break;
			}
		world_run_until(&w, w.now + 1600);
		completed += job->outcome == POOL_ANSWER__OUTCOME__COMPLETED;
		end();
	}
	cr_assert_eq(completed, 6, "%d of 6", completed);
}

struct size {
	double cpu_ms;
	int completed;
};

static int compare_sizes(const void *a, const void *b)
{
	const struct size *x = a, *y = b;

	return (x->cpu_ms < y->cpu_ms) - (x->cpu_ms > y->cpu_ms);
}

/* What a play of one seed is measured by. */
enum {
	COMPLETED, /* share of all jobs */
	VALUE,	   /* share that was earned */
	LARGEST,   /* share of the largest tenth of the long jobs */
	FIGURES,
};

#define SEEDS 12

/* Share of the largest tenth of the long jobs that completed. */
static double share_of_largest(void)
{
	static struct size sizes[65536];
	size_t i, j, n = 0, tenth, largest = 0;

	for (i = 0; i < w.njobs; i++) {
		const struct world_job *job = w.jobs[i];
		const PoolStep *step = job->sub->steps[0];

		if (job->sub->queue[0] != 'd')
			continue;
		sizes[n].cpu_ms = 0;
		for (j = 0; j < step->tasks; j++)
			sizes[n].cpu_ms += step->cpu * job->task_work[j];
		sizes[n++].completed = job->answered &&
				       job->outcome ==
					       POOL_ANSWER__OUTCOME__COMPLETED;
	}
	qsort(sizes, n, sizeof(*sizes), compare_sizes);
	tenth = n / 10;
	for (i = 0; i < tenth; i++)
		largest += (size_t)sizes[i].completed;
	return (double)largest / (double)tenth;
}

/*
 * Tasks take half a target, and three of a hundred jobs seven times as long as
 * estimated.
 */
static void run_mix(const struct sched_policies *names, const double *speeds,
		    size_t nspeeds, uint64_t seed, double figures[FIGURES])
{
	size_t i, completed = 0;

	world_init(&w, seed, 48, speeds, nspeeds);
	w.task_cpu = 8000;
	w.tail = 0.03;
	world_start_sched(&w, &s, names, LEAD_TOKEN(1));
	world_run_until(&w, w.now + 100);
	world_generate_load(&w, 0.6, 15000);
	world_run_until(&w, w.now + 2000);
	for (i = 0; i < w.njobs; i++)
		completed += w.jobs[i]->answered &&
			     w.jobs[i]->outcome ==
				     POOL_ANSWER__OUTCOME__COMPLETED;
	figures[COMPLETED] = (double)completed / (double)w.njobs;
	figures[VALUE] = w.outcomes.value / w.outcomes.max_value;
	figures[LARGEST] = share_of_largest();
	end();
}

/*
 * Compares moves with none by the differences of the seeds: their mean is not
 * below 0 by more than two standard errors.
 */
static void check_no_loss(const double *speeds, size_t nspeeds)
{
	static const char *const names[] = { "completed", "value", "largest" };
	const struct sched_policies none = { .move = "none" };
	double sum[FIGURES] = { 0 }, squares[FIGURES] = { 0 };
	uint64_t seed;
	size_t i;

	for (seed = 1; seed <= SEEDS; seed++) {
		double base[FIGURES], figures[FIGURES];

		run_mix(&none, speeds, nspeeds, seed, base);
		run_mix(NULL, speeds, nspeeds, seed, figures);
		for (i = 0; i < FIGURES; i++) {
			double diff = figures[i] - base[i];

			sum[i] += diff;
			squares[i] += diff * diff;
		}
	}
	for (i = 0; i < FIGURES; i++) {
		double mean = sum[i] / SEEDS;
		double var = (squares[i] / SEEDS - mean * mean) / (SEEDS - 1);
		double error = sqrt(fmax(var, 0));

		cr_expect_geq(mean, -2 * error, "%s %.4f, standard error %.4f",
			      names[i], mean, error);
	}
}

/* Guards against moves that serve less than none, with no target at fault. */
Test(sched_move, moves_serve_no_less_than_none)
{
	check_no_loss(third_slow, 3);
}

Test(sched_move, moves_serve_no_less_than_none_on_equal_targets)
{
	check_no_loss(equal, 1);
}
