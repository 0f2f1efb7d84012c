#ifndef STANDIN_H
#define STANDIN_H

/*
 * A stand-in for the users' platform, in one process: its store on the first
 * port, targets on those behind it. It speaks the published protocol, checks
 * at the targets what must hold, and misbehaves as it is told on /control.
 */

#include "fake.h"

#define STANDIN_TARGETS 64
#define STANDIN_RUNS 32
#define STANDIN_NAME 64

struct standin;

/* --- store.c ---------------------------------------------------------- */

struct standin_row {
	char table[STANDIN_NAME], part[STANDIN_NAME], key[STANDIN_NAME * 2];
	char *value; /* base64; NULL: removed */
	int64_t version;
};

struct standin_store {
	struct standin_row *rows;
	size_t n, cap;
	int64_t version;
	int64_t oldest; /* changes up to here are forgotten */
	int down;	/* answers 503 */
	int silent;	/* answers nothing */
	int lose;	/* percent of writes done and not answered */
	uint64_t reads, writes;
};

/* value is text, and is stored as base64; NULL removes the row. */
void store_put(struct standin_store *s, const char *table, const char *key,
	       const char *text);
enum fake_verdict store_handle(struct standin *st, struct fake_request *r);

/* --- targets.c -------------------------------------------------------- */

struct standin_run {
	char task[STANDIN_NAME], spec[STANDIN_NAME];
	int64_t run;
	double work, done; /* ms */
	int fails;
	double cpu;
};

struct standin_end {
	int64_t number;
	char task[STANDIN_NAME], spec[STANDIN_NAME];
	int64_t run;
	const char *how;
};

struct standin_target {
	struct standin *st;
	size_t index;
	char id[STANDIN_NAME];
	int64_t born, sequence, drains_since;
	int64_t reborn_at; /* 0: never */
	int draining, dark, stuck, failing;
	double clock; /* its clock is this far ahead, ms */
	int drag;     /* its clock is this much slow, percent */
	double slow;  /* work takes so many times as long */
	int64_t fence, lease_until, advanced;
	struct standin_run runs[STANDIN_RUNS];
	size_t nruns;
	struct standin_end *ends;
	size_t nends, cap_ends;
	int64_t number;
	json_t *past; /* task -> highest run that ended or was stopped */
};

void target_init(struct standin *st, size_t index);
/* Writes its entry to the store. */
void target_report(struct standin_target *t);
void target_reborn(struct standin_target *t);
void target_advance(struct standin_target *t);
enum fake_verdict target_handle(struct standin_target *t,
				struct fake_request *r);

/* --- platform.c ------------------------------------------------------- */

struct standin {
	struct fake_server srv;
	apr_thread_mutex_t *lock;
	struct standin_store store;
	struct standin_target targets[STANDIN_TARGETS];
	size_t ntargets;
	int first_port;
	int advertise; /* port before those that the entries name */
	int drain_ms;  /* a start is wrong so long after a target drains */
	unsigned seed;
	int violations;
	char first[256];
	uint64_t starts, ends;
	json_t *ran;   /* ids of jobs of which a task was started */
	json_t *ended; /* tasks of which a run ended well */
	json_t *done; /* task -> specification, once its end was acknowledged */
};

void standin_violated(struct standin *st, const char *what, const char *task);
/* Answers later: the handler is asked again every few ms until then. */
enum fake_verdict standin_later(struct fake_request *r);
/* How long the request has been waiting, ms. */
int64_t standin_waited(struct fake_request *r);

#endif
