#ifndef SCHED_INT_H
#define SCHED_INT_H

/*
 * What the files of the scheduler use of each other. The embedding code
 * includes scheduler.h alone.
 */

#include "scheduler.h"

/* Why a job is rejected that the budget has no room for. */
#define SCHED_NO_MEMORY "the leader has no memory for the job"

/*
 * Time after which a call that had no reply is taken for lost. The platform
 * carries calls out seconds late, and gives no bound.
 */
#define LATE_CALL_MAX_MS 15000
/*
 * Time without an entry in the list after which a target is gone. Entries that
 * expire in an outage of the store are back two seconds after its end.
 */
#define GONE_MS 3000

/*
 * A job counts as one that cannot end in time once its prediction exceeds the
 * time that is left by this many standard deviations of its error. Admission
 * and placement share the value, so that an accepted job is placed as well; of
 * the jobs that could end in time, 2 in 100 are rejected.
 */
#define SCHED_TRY_SIGMAS 2.0

/* sched-job.c */
struct sched_job *sched_job_new(struct sched *s, void *owner,
				const PoolSubmit *sub, rp_ms now);
void sched_job_free(struct sched_job *job);
/* Task i had succeeded before the job was submitted here. */
void sched_job_mark_done(struct sched_job *job, size_t i);
/*
 * Answers and closes the job, and stops its runs. Frees it if it has none.
 * Returns the mark of the message to the owner.
 */
uint64_t sched_job_answer(struct sched_job *job, PoolAnswer__Outcome outcome,
			  const char *reason, rp_ms retry_after);
/* A task of the job was started, here or by an earlier scheduler. */
void sched_job_started(struct sched_job *job);
/* Until when the job may be submitted again; 0: a stored job has no deadline.
 */
rp_ms sched_job_needed_until(const struct sched_job *job);
/* Frees the job if it is answered and has no runs left. */
void sched_job_reap(struct sched_job *job);
/* Recomputes the predicted times of the job and its position in s->jobs. */
void sched_job_reorder(struct sched_job *job);
/* Whether all steps that the step depends on are done. */
int sched_step_ready(const struct sched_job *job, size_t step);
/* Length of the longest chain of steps, with the given length of each step. */
double sched_job_longest_path(const struct sched_job *job,
			      const double *lengths);
/* Predicted time at speed 1 of the longest chain of unfinished steps, ms. */
double sched_job_critical_path(const struct sched_job *job);

struct sched_times {
	rp_ms objective_at, due_at, expires_at; /* as of struct sched_job */
};

/*
 * The job's times if the task has that work, ms at speed 1, where that is more
 * than is known of its step. task NULL: as its steps are known.
 */
struct sched_times sched_job_times(const struct sched_job *job,
				   const struct sched_task *task, double work);

/* sched-place.c */
int sched_target_has_label(const struct sched_target *t, const char *label);
/* Predicted run time of a task of the step on the target, ms. */
double sched_run_time(const struct sched_target *t,
		      const struct sched_step *step);
/* Whether the target may be given tasks now. */
int sched_target_available(const struct sched_target *t, rp_ms now);
/* Whether the room covers the need in each resource. */
int sched_resources_fit(const struct sched_resources *need,
			const struct sched_resources *room);
/* Whether the target could run the step's tasks if it were idle. */
int sched_target_eligible(const struct sched_target *t,
			  const struct sched_job *job,
			  const struct sched_step *step);
int sched_target_has_room(const struct sched_target *t,
			  const struct sched_resources *need);
/* Whether the target runs as many tasks of the job's step as spread allows. */
int sched_target_at_spread_limit(const struct sched_target *t,
				 const struct sched_job *job,
				 const struct sched_step *step);
/*
 * Returns the best target with room, even if the task will be late there, or
 * NULL.
 */
struct sched_target *sched_best_target(struct sched *s,
				       const struct sched_job *job,
				       const struct sched_step *step);
/*
 * Keeps other tasks from a target until it is idle, for a task that is to be
 * isolated.
 */
void sched_reserve_target(struct sched *s, const struct sched_job *job,
			  const struct sched_step *step);
/* Returns the service of the name; creates it if needed. */
struct sched_service *sched_get_service(struct sched *s, const char *name);
/* Returns the service with totals that are a few ms old at most. */
const struct sched_service *sched_service_totals(struct sched *s,
						 struct sched_service *service);

/* The totals are to be computed again at the next decision. */
void sched_service_changed(struct sched_service *service);

/* sched-locality.c */
/* Whether the step's data is on another rack than the target. */
int sched_is_remote(const struct sched_target *t,
		    const struct sched_step *step);
/* Predicted time at which the target has room for the need; HUGE_VAL: never. */
double sched_room_at(const struct sched_target *t,
		     const struct sched_resources *need);
/*
 * Whether a task waits for its rack rather than run on the target, which is
 * away from it.
 */
int sched_locality_should_wait(struct sched *s, const struct sched_job *job,
			       const struct sched_step *step,
			       const struct sched_target *t);
/* Factor on the run time of the step's tasks by the load of their rack. */
double sched_locality_factor(struct sched *s, const struct sched_job *job,
			     const struct sched_step *step);

/* sched-fit.c */
/* Learns the sizes of the job's tasks. */
void sched_fit_add(struct sched_job *job);
/* Computes the table of usable room, if it is out of date. */
void sched_fit_update(struct sched *s, struct sched_service *service);
/* CPU that whole tasks can use of a free room, thousandths of a core. */
double sched_fit_usable(const struct sched_service *service, int64_t cpu);
/* Usable room that a task of the CPU takes from a free room. */
double sched_fit_loss(const struct sched_service *service, int64_t room,
		      int64_t cpu);

/* sched-past.c */
/*
 * Sets the job's run numbers above those of an earlier submission of the id,
 * and marks the tasks done that had succeeded in it.
 */
void sched_history_restore(struct sched_job *job);
/* Records a job that is about to be answered, if a task was started. */
void sched_history_add(const struct sched_job *job);
/* Records a target that was lost with a task of an answered job. */
void sched_history_add_loss(const struct sched_task *task,
			    const struct sched_loss *loss);
/* Records the success of a task of an answered job. */
void sched_history_add_done(const struct sched_task *task);
/*
 * Records that the run, whose target cannot be reached, may go on as long as
 * the job's caller waits: the owner, which is lost or does not know of a second
 * submission, may have submitted the job to a scheduler that reaches the
 * target.
 */
void sched_history_add_unreached(const struct sched_task *task);
/* Records the success of a task whose job may still be submitted. */
void sched_released_add(struct sched *s, const char *task);
/* Marks the job's tasks done whose success was recorded. */
void sched_released_restore(struct sched_job *job);
void sched_history_expire(struct sched *s);
void sched_history_finish(struct sched *s);

/* sched-admit.c */
#define SCHED_USABLE_SHARE_INITIAL 0.75
/* Time in which the work that waits is done, within bounds, ms. */
rp_ms sched_admit_retry_after(const struct sched_job *job);
/* Time on fast targets if the work is as little as the prediction allows. */
rp_ms sched_job_shortest_time(const struct sched_job *job);
/* Adjust the usable share to whether accepted jobs start on time. */
void sched_admit_started_on_time(struct sched_job *job);
void sched_admit_started_late(struct sched_job *job);

/*
 * Learns the time that a caller waits for its answer, ms, and returns how long
 * it has waited already, in earlier tries.
 */
rp_ms sched_wait_elapsed(struct sched_queue *q, rp_ms wait);

/* sched-share.c */
/* A job of the queue was answered. */
void sched_share_answered(struct sched_queue *q, int completed);
/* Whether the queue is served far less often than the others. */
int sched_share_starves(const struct sched_queue *q);
/* Whether the job may make the other one, which waits, late. */
int sched_share_displaces(const struct sched_job *job,
			  const struct sched_job *other);

/* sched-learn.c */
/* The reply to a start came after ms. */
void sched_learn_call_delay(struct sched *s, rp_ms ms);
/* The part of the time since the run's start that was not on the target, ms. */
double sched_run_delay(const struct sched_task *task);
/* Time that a run takes until the caller has the answer, beyond its own, ms. */
double sched_overhead(const struct sched *s);
/* Corrects a new job's estimates by what was learned of its queue. */
void sched_predict_job(struct sched_job *job);
/* A run ended; span is the time since its start call, ms. */
void sched_learn_end(struct sched_task *task, double span, int failed);
void sched_learn_progress(struct sched_task *task, int percent);
/* A run is moved because it would take total_ms at its present speed. */
void sched_learn_overrun(struct sched_task *task, double total_ms);
/*
 * The share of the error of a prediction, in the log, that is the job's and its
 * task's, and so shows on any target: 0 to 1.
 */
double sched_learn_share_of_job(const struct sched_task *task, double error,
				double measurement_var);
/* The target may have changed: what was learned of its speed is uncertain. */
void sched_reset_slowdown(struct sched_target *t);
/* Lets old observations of targets fade; to be called periodically. */
void sched_learn_decay(struct sched *s);
/* Returns the queue of the name; creates it with an estimate in ms. */
struct sched_queue *sched_get_queue(struct sched *s, const char *name,
				    double estimate);

/* sched-shown.c */
/* A run of the task has made the progress in run_ms on its target. */
void sched_shown_add(struct sched_task *task, double run_ms, int percent);
/*
 * Whether the job could not have ended before its deadline if it had been
 * started at once, on a target of speed 1 or as fast as those that ran it. 0 if
 * its runs have not shown that.
 */
int sched_job_is_too_long(const struct sched_job *job);

/* sched-adopt.c */
/* Keeps what a target's first list shows, for jobs that are resubmitted. */
void sched_adopt_list(struct sched_target *t,
		      const struct sched_target_reply *reply);
/*
 * Adopts the runs and ends of the job that were found on targets. May answer
 * the job. Returns whether an earlier scheduler may have started it.
 */
int sched_adopt_job(struct sched_job *job);
/* Stops the runs and releases the ends that no job has claimed in time. */
void sched_adopt_tick(struct sched_target *t);
/* Forgets the runs that were found on the target and are not listed any more.
 */
void sched_adopt_reconcile(struct sched_target *t,
			   const struct sched_target_reply *reply);
/* A run that this scheduler does not know has ended. */
void sched_adopt_end(struct sched_target *t, const struct sched_end *end);
/* Whether jobs of unknown runs may still be submitted. */
int sched_adopt_pending(const struct sched_target *t);
/*
 * Whether the target lists results of runs that no job here claims, and that
 * the leader of their jobs may count as void, as its lease is over: it starts
 * their tasks again. So this scheduler must not prolong that lease. Once it has
 * lapsed, the results count for nobody.
 */
int sched_adopt_awaits_lapse(const struct sched_target *t);
/*
 * The job, which this scheduler has, was submitted to another one meanwhile and
 * is back. Returns whether this answered it.
 */
int sched_adopt_returned(struct sched_job *job, const PoolSubmit *sub);
/*
 * Whether the list of an unlisted target is still awaited, as runs of earlier
 * schedulers may go on there.
 */
int sched_adopt_is_awaited(const struct sched_target *t);
/* When leases of earlier schedulers are over for the job. */
rp_ms sched_adopt_leases_over(const struct sched_job *job);
/* Whether every run of the job by an earlier scheduler is known or over. */
int sched_adopt_all_known(const struct sched_job *job);

/* sched-late.c */
/* The run of the task is over, as far as is known, and its end may come. */
void sched_late_give_up(const struct sched_task *task);
/* Whether this scheduler started the run there, and gave it up. */
int sched_was_given_up(const struct sched_target *t,
		       const struct sched_end *end);
/*
 * A run of the task has succeeded on the target, as the end of that number
 * says, which was added to the unacknowledged ones. The task waits, or another
 * run of it is being started or goes on elsewhere, which is stopped then.
 * Returns whether this answered the job.
 */
int sched_late_success(struct sched_task *task, struct sched_target *t,
		       uint64_t number);

/* sched-restart.c */
/* The run is over for this scheduler. Keeps its start if it may be late. */
void sched_late_start_add(const struct sched_task *task);
/* The target has restarted under its id, and has no record of stops. */
void sched_late_starts_restarted(struct sched_target *t);
/* Sends the stops again that this incarnation has not acknowledged. */
void sched_late_starts_stop(struct sched_target *t);
/* This incarnation has acknowledged the run's stop. */
void sched_late_start_stopped(struct sched_target *t, struct rp_str name,
			      uint32_t run);
/* Takes what these starts need from the room. */
void sched_late_starts_reserve(const struct sched_target *t,
			       struct sched_resources *room);

/* sched-dispatch.c */
/* Whether runs of an earlier submission of the id may not be over. */
int sched_has_earlier_runs(const struct sched_job *job);

/* sched-delay.c */
/* The job waits for that from now on. */
void sched_delay_set(struct sched_job *job, enum sched_delay delay);
/* Adds the delays of a job that is answered to those of its queue. */
void sched_delay_count(struct sched_job *job);

/* sched-domain.c */
/* Keeps the domains in which earlier schedulers may have started tasks. */
void sched_domains_restore(struct sched_job *job, const PoolSubmit *sub);
void sched_domains_free(struct sched_job *job);
/* Keeps those of an earlier submission, and tells the new owner of them. */
void sched_domains_inherit(struct sched_job *job,
			   const struct sched_history *rec);
/* Copies the domains of a job that is answered into its record. */
void sched_domains_record(struct sched_history *rec,
			  const struct sched_job *job);
/*
 * All tasks of the job were started: the owner need not presume any domain any
 * more.
 */
void sched_domains_placed(struct sched_job *job);
/* Tells the owner again, as a message may have been lost. */
void sched_domains_resend(struct sched_job *job);
/*
 * A task is to be started in the target's failure domain. Returns whether it
 * may be now, or only after the owner has acknowledged a message.
 */
int sched_domain_announce(struct sched_job *job, const struct sched_target *t);
/* An earlier scheduler has started a task there. */
void sched_domain_adopted(struct sched_job *job, const struct sched_target *t);
/* The owner knows of all domains in messages up to the mark. */
void sched_domains_acked(struct sched *s, const void *owner, uint64_t mark);
/*
 * Whether there is a target on which an earlier scheduler may have started a
 * task of the job, and which this one has not reached.
 */
int sched_domains_unreached(const struct sched_job *job);

/* sched-told.c */
/*
 * Delays the end's acknowledgement until the owner acknowledges the mark, or
 * the owner is lost, which is NULL, and needed_until or default_wait has
 * passed. mark 0: adds nothing.
 */
void sched_unacked_add(struct sched_target *t, uint64_t number, void *owner,
		       uint64_t mark, rp_ms needed_until);
/* Delays the end's acknowledgement until its job is submitted. */
void sched_unacked_add_unclaimed(struct sched_target *t, uint64_t number);
/*
 * Delays the acknowledgement of the end, which was added, until the task's run,
 * on another target, is over.
 */
void sched_unacked_await_run(struct sched_target *t, uint64_t number,
			     struct sched_task *task);
/* The task's run is over: acknowledges the ends that wait for it. */
void sched_unacked_run_over(struct sched_task *task);
/*
 * Whether an end waits for more than its owner's acknowledgement: its job is
 * not known, or another run is not over.
 */
int sched_unacked_is_slow(const struct sched_target *t);
/*
 * Sets what an end's acknowledgement waits for, as sched_unacked_add() does;
 * mark 0: it may be acknowledged.
 */
void sched_unacked_resolve(struct sched_target *t, uint64_t number, void *owner,
			   uint64_t mark, rp_ms needed_until);
/* Until when a job may be submitted of which an end here is kept; 0: none. */
rp_ms sched_unacked_needed_until(const struct sched_target *t);
/* The owner's ends wait as those that no job claims do, and then go. */
void sched_unacked_owner_lost(struct sched *s, const void *owner);
/* Releases the ends of lost owners that are not needed any more. */
void sched_unacked_expire(struct sched_target *t);
/* Whether ends that are kept are about to hide those of later runs. */
int sched_unacked_is_full(const struct sched_target *t);
/* Returns the number up to which ends may be acknowledged. */
uint64_t sched_ackable_end(const struct sched_target *t);

/* sched-run.c */
/* The target runs the task, started by an earlier scheduler. */
void sched_run_adopt(struct sched_task *task, struct sched_target *t,
		     uint32_t run);
/* The task succeeded. Returns the mark of the message to the owner. */
uint64_t sched_task_done(struct sched_task *task);
/* Adds to the failed runs of the task. */
void sched_task_add_failure(struct sched_task *task, uint32_t run);
/* Whether the run on the target is being stopped. */
int sched_run_is_stopping(const struct sched_task *task);
/* Whether another failed run fails the task's job. */
int sched_task_on_last_attempt(const struct sched_task *task);
/*
 * A run of the task has failed. Returns the mark of the message to the owner,
 * or 0. May free the job.
 */
uint64_t sched_task_failed(struct sched_task *task, uint32_t run);
void sched_run_start(struct sched_task *task, struct sched_target *t);
void sched_run_stop(struct sched_task *task);
/*
 * The run is over. Requeues the task where it has to run again. Returns the
 * mark of the message to the owner, or 0. May free the job.
 */
uint64_t sched_run_ended(struct sched_task *task, enum sched_end_how how);
/* When a lease that is granted now has certainly ended. */
rp_ms sched_end_of_lease(const struct sched *s);
/* The least that the target's clock may show at the time. */
int64_t sched_least_clock(const struct sched_target *t, rp_ms at);
/* Returns the end of a lease granted now, in ms of the target's clock. */
int64_t sched_new_lease(struct sched_target *t);
void sched_run_send_stop(struct sched_task *task);
/* Stops the run on an incarnation of its target that has not stopped it. */
void sched_run_stop_again(struct sched_task *task);
struct sched_task *sched_run_find(struct sched_target *t, struct rp_str name,
				  uint32_t run);
/*
 * All leases are over. Gives up the target's runs, but for those that calls may
 * still start or prolong that are carried out late; to be called at each tick
 * then. The target has to be acquired again.
 */
void sched_target_lease_over(struct sched_target *t);
/*
 * Treats all runs of the target as over; it has to be acquired again. crashed:
 * the target is known to have crashed.
 */
void sched_target_drop_runs(struct sched_target *t, int crashed,
			    const char *reason);

/* sched-loss.c */
/* Notes which of the target's runs may have to do with its loss. */
void sched_loss_mark_runs(struct sched_target *t);
/*
 * The target of the task's run is lost, and the run with it. crashed: it is
 * known to have crashed.
 */
void sched_loss_of_run(struct sched_task *task, int crashed);
/* Adds the loss, or merges it with what is known of the target already. */
void sched_loss_add(struct sched_task *task, const struct sched_loss *loss);
void sched_losses_free(struct sched_job *job);
/* Adds the losses under an earlier scheduler. */
void sched_losses_restore(struct sched_job *job, PoolLoss *const *losses,
			  size_t n);
/* Tells the owner of the job's losses. */
void sched_losses_changed(struct sched_job *job);
/* The owner knows of all losses in messages up to the mark. */
void sched_losses_acked(struct sched *s, const void *owner, uint64_t mark);
/* Whether the task is to run alone on its next target. */
int sched_loss_isolates(const struct sched_task *task);
/* Whether the task may not be started, now or any more. */
int sched_loss_must_wait(const struct sched_task *task);
/*
 * Learns which of the lost targets have crashed, and gives up the jobs of tasks
 * that are at fault.
 */
void sched_loss_tick(struct sched *s);

/* sched-evacuate.c */
/* Sets whether the target's failure domain is evacuated. */
void sched_evacuate_target(struct sched_target *t);
/* Whether starts wait until the evacuated failure domains are known. */
int sched_awaits_evacuations(const struct sched *s);
/* Whether all targets of the service are in evacuated failure domains. */
int sched_service_is_evacuated(const struct sched *s,
			       const struct sched_service *service);
/* Until the operator takes the request back; how long is not known. */
#define SCHED_EVACUATED_RETRY_MS 2000

/* sched-predict.c */
/*
 * Returns when a run that is adopted has begun, by its first progress that is
 * known and by how long it is predicted to take. Lists do not tell.
 */
rp_ms sched_run_likely_begin(const struct sched_task *task, int percent);
/* Predicted end of the run, on the scheduler's clock. */
double sched_run_predicted_end(const struct sched_task *task);
/* Predicted run time of the task at speed 1, by its run's progress too, ms. */
double sched_task_work(const struct sched_task *task);
/*
 * Predicted run time of the task on the target if it is started there anew, ms.
 * The target counts as no faster than the service's fast ones.
 */
double sched_rerun_time(const struct sched_task *task,
			const struct sched_target *t);
/* sched-silence.c */
/* Returns the failure domain of the name; creates it if needed. */
struct sched_failure_domain *sched_get_domain(struct sched *s,
					      const char *name);
/* The target has replied to a call. */
void sched_silence_replied(struct sched_target *t);
/* Finds the failure domains that do not reply. */
void sched_silence_tick(struct sched *s);
/*
 * Whether to call the idle target now, as its failure domain may reply again.
 * If so, the next such call is due after an interval.
 */
int sched_silence_probe(struct sched_target *t);

/* sched-outlier.c */
enum sched_outlier {
	SCHED_OUTLIER_UNKNOWN,
	SCHED_OUTLIER_JOB,    /* all of its tasks are longer */
	SCHED_OUTLIER_TARGET, /* it has become slow */
};

/*
 * Why a run is longer than predicted, by an error of the logarithm. may_wait:
 * it may be unknown until other runs have shown their progress.
 */
enum sched_outlier sched_outlier_cause(const struct sched_task *task,
				       double error, int may_wait);
/* The cause as far as it is known now; nothing is learned from it. */
enum sched_outlier sched_outlier_presumed(const struct sched_task *task,
					  double error);

/* sched-leave.c */
/* Moves runs off targets that leave; to be called at each tick. */
void sched_leave_tick(struct sched *s);

/* sched-hopeless.c */
/* Answers the jobs that cannot end in time; to be called at each tick. */
void sched_hopeless_tick(struct sched *s);

/* sched-list.c */
/* Sets whether the target's last list may lack ends. */
void sched_set_more_ends(struct sched_target *t, int more_ends);
/*
 * Whether results of the job's tasks may be among those that the lists of
 * targets lack. They are to come once the others are acknowledged.
 */
int sched_ends_may_be_missing(const struct sched_job *job);
/* Applies the list that the target has replied with. */
void sched_list_apply(struct sched_target *t,
		      const struct sched_target_reply *reply);

/* sched-hold.c */
/* Resets the state of a target that was seen in another incarnation. */
void sched_target_new_incarnation(struct sched_target *t, int64_t incarnation);
/* Sends a hold call if one is due and none is in flight. */
void sched_target_hold(struct sched_target *t);

#endif
