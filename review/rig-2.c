/*
 * A small stand-in of the users' platform for the cases of the second review:
 * the store and the operator on the first port, one worker on each port after
 * it. It follows PROTOCOL.md, prints what is sent to it, answered and run, and
 * checks some rules at the workers.
 *
 * A job's specification tells the stand-in what its tasks do, a value a step:
 *   ms=300,50 cpu=500,100 n=4,1 after=-,0 aa=0,1 fail=0,0 steps=2
 * run time, CPU, number of tasks, step that must be done before ("chain": the
 * one before), most tasks on one worker (0: any), percent of the runs that
 * fail, and the number of steps. The last value holds for the steps after it.
 */

#include "fake.h"

#include <apr_base64.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <apr_general.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define WORKERS_MAX 64
#define STEPS_MAX 64
#define JOBS_MAX 4096
#define RUNS_MAX 4096 /* at work on one worker */
#define TEXT_MAX 64
#define TICK_US 4000
#define LEASE_MAX_MS 1000   /* maxHoldMs */
#define STATUS_MS 1500	    /* heartbeatIntervalMs */
#define ROW_BYTES_MAX 65536 /* rowBytes */
#define TX_ENTRIES_MAX 100
#define TX_BYTES_MAX 1000000
#define READ_ROWS_MAX 500
#define READ_BYTES_MAX 1000000
#define ENDS_A_REPLY 500

struct row {
	char table[TEXT_MAX], part[TEXT_MAX], key[208];
	char *value; /* base64; NULL: removed */
	int64_t version;
};

/* One run of a task, from its start until the end of the record. */
struct run {
	struct run *next;	/* older runs of all tasks */
	struct run *task_next;	/* older runs of the task */
	char task[TEXT_MAX];
	int64_t number;		/* "run" */
	int step, index;
	int worker, life;
	int64_t started, ended; /* 0: at work */
	const char *how;
	int64_t end_number;
	int lapsed_since; /* the lease lapsed after its end */
	int noted;	  /* its end was taken note of */
	double work_ms, done_ms, cpu;
	int fails, loose;
};

struct worker {
	int index, life;
	char id[TEXT_MAX], zone[TEXT_MAX];
	int64_t born, clock_zero, last_end, fence, lease_until, leaves_at;
	int64_t written_at, down_until, entry_gone_at, draining_at;
	int up, silent, losing, draining, same_id, hang;
	int dark; /* while it is down, it does not refuse connections */
	double cpu, slow;
	struct run *runs[RUNS_MAX];
	size_t nruns;
	struct run **ends;
	size_t nends, cap_ends;
	json_t *highest; /* task -> highest run that was stopped or ended */
};

struct spec {
	char id[32];
	int nsteps;
	int ms[STEPS_MAX], cpu[STEPS_MAX], n[STEPS_MAX], after[STEPS_MAX];
	int aa[STEPS_MAX], fail[STEPS_MAX];
	int loose; /* bestEffort */
};

/* A job of which a task was started. */
struct job {
	char id[32];
	int total, done, at_work;
	double need; /* most CPU of one of its tasks */
	int64_t idle_since;	/* nothing of it runs, and it is not done */
	int64_t worst;		/* longest such time since the watch began */
};

/* A request that waits. */
struct wait {
	int64_t since, until; /* until: it is carried out, or answered */
	int lost;
	enum { NONE, LATE_CALL, NO_ANSWER } fate;
};

static struct {
	struct fake_server srv;
	apr_thread_mutex_t *lock;
	struct fake_timer tick;
	struct row *rows;
	size_t nrows, cap_rows;
	int64_t version, compacted;
	int down, silent, lose, late, slow_ms;
	struct worker workers[WORKERS_MAX];
	int nworkers, first_port, max_attempts;
	struct run *runs;
	struct job jobs[JOBS_MAX];
	int njobs;
	int64_t watched_from; /* 0: jobs are not watched */
	json_t *tasks; /* name -> pointer to its newest run, as integer */
	int64_t zero;
	unsigned seed;
	int violations, refused_rows;
	char first[300];
} g;

static int64_t clock_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

static void say(const char *format, ...)
{
	va_list args;

	printf("%8.3f ", (double)(clock_ms() - g.zero) / 1000);
	va_start(args, format);
	vprintf(format, args);
	va_end(args);
	printf("\n");
	fflush(stdout);
}

static void violation(const char *rule, const char *what, const char *subject)
{
	if (!g.violations++)
		snprintf(g.first, sizeof(g.first), "%s: %s: %s", rule, what,
			 subject);
	say("VIOLATION %s: %s: %s", rule, what, subject);
}

static int percent(int p)
{
	return p && (int)(rand_r(&g.seed) % 100) < p;
}

/* --- store ------------------------------------------------------------ */

static struct row *find_row(const char *table, const char *part,
			    const char *key)
{
	size_t i;

	for (i = 0; i < g.nrows; i++)
		if (!strcmp(g.rows[i].key, key) &&
		    !strcmp(g.rows[i].table, table) &&
		    !strcmp(g.rows[i].part, part))
			return &g.rows[i];
	return NULL;
}

static void put_row(const char *table, const char *part, const char *key,
		    const char *value)
{
	struct row *row = find_row(table, part, key);

	if (!row) {
		if (g.nrows == g.cap_rows) {
			g.cap_rows = g.cap_rows * 2 + 64;
			g.rows = realloc(g.rows, g.cap_rows * sizeof(*row));
		}
		row = &g.rows[g.nrows++];
		memset(row, 0, sizeof(*row));
		snprintf(row->table, sizeof(row->table), "%s", table);
		snprintf(row->part, sizeof(row->part), "%s", part);
		snprintf(row->key, sizeof(row->key), "%s", key);
	}
	free(row->value);
	row->value = value ? strdup(value) : NULL;
	row->version = g.version;
}

static void put_text(const char *table, const char *key, const char *text)
{
	char *base64 = NULL;

	g.version++;
	if (text) {
		base64 = malloc((size_t)apr_base64_encode_len(
					(int)strlen(text)) + 1);
		apr_base64_encode(base64, text, (int)strlen(text));
	}
	put_row(table, "", key, base64);
	free(base64);
}

static json_t *row_json(const struct row *row)
{
	json_t *o = json_pack("{s:s,s:s,s:s,s:I}", "table", row->table, "part",
			      row->part, "key", row->key, "recordVersion",
			      (json_int_t)row->version);

	if (row->value)
		json_object_set_new(o, "value", json_string(row->value));
	else
		json_object_set_new(o, "removed", json_true());
	return o;
}

static enum fake_action reply_rows(struct fake_request *r, unsigned status,
				   json_t *rows, int more, int64_t version)
{
	return fake_reply_json(r, status,
			       json_pack("{s:o,s:b,s:I,s:I}", "rows", rows,
					 "hasMore", more, "recordVersion",
					 (json_int_t)version, "nowMs",
					 (json_int_t)clock_ms()));
}

static const char *arg(struct fake_request *r, const char *name)
{
	const char *text = fake_request_arg(r, name);

	return text ? text : "";
}

static int by_key(const void *a, const void *b)
{
	return strcmp((*(struct row *const *)a)->key,
		      (*(struct row *const *)b)->key);
}

static int by_version(const void *a, const void *b)
{
	const struct row *x = *(struct row *const *)a;
	const struct row *y = *(struct row *const *)b;

	return x->version < y->version ? -1 : x->version > y->version;
}

static enum fake_action get_rows(struct fake_request *r)
{
	struct row **found = calloc(g.nrows + 1, sizeof(*found));
	size_t i, n = 0, bytes = 0, limit = (size_t)atoi(arg(r, "limit"));
	const char *to = arg(r, "to");
	json_t *rows = json_array();

	if (!limit || limit > READ_ROWS_MAX)
		limit = READ_ROWS_MAX;
	for (i = 0; i < g.nrows; i++)
		if (g.rows[i].value &&
		    !strcmp(g.rows[i].table, arg(r, "table")) &&
		    !strcmp(g.rows[i].part, arg(r, "part")) &&
		    strcmp(g.rows[i].key, arg(r, "from")) >= 0 &&
		    (!*to || strcmp(g.rows[i].key, to) < 0))
			found[n++] = &g.rows[i];
	qsort(found, n, sizeof(*found), by_key);
	for (i = 0; i < n && i < limit; i++) {
		bytes += strlen(found[i]->value) + 200;
		if (i && bytes > READ_BYTES_MAX)
			break;
		json_array_append_new(rows, row_json(found[i]));
	}
	free(found);
	return reply_rows(r, 200, rows, i < n, g.version);
}

static enum fake_action suspend(struct fake_request *r);

static enum fake_action get_feed(struct fake_request *r)
{
	int64_t after = atoll(arg(r, "after"));
	int64_t wait_ms = atoll(arg(r, "waitMs"));
	struct wait *w = r->data;
	struct row **found;
	json_t *rows;
	size_t i, n = 0;

	if (after < g.compacted)
		return fake_reply_error(r, 410, "history is gone");
	found = calloc(g.nrows + 1, sizeof(*found));
	for (i = 0; i < g.nrows; i++)
		if (g.rows[i].version > after &&
		    !strcmp(g.rows[i].table, arg(r, "table")))
			found[n++] = &g.rows[i];
	if (!n && wait_ms && (!w || clock_ms() - w->since < wait_ms)) {
		free(found);
		return suspend(r);
	}
	qsort(found, n, sizeof(*found), by_version);
	rows = json_array();
	for (i = 0; i < n; i++)
		json_array_append_new(rows, row_json(found[i]));
	free(found);
	return reply_rows(r, 200, rows, 0, g.version);
}

static struct job *job_of(const char *task)
{
	size_t len = strcspn(task, ".");
	int i;

	for (i = g.njobs; i-- > 0;)
		if (strlen(g.jobs[i].id) == len &&
		    !strncmp(g.jobs[i].id, task, len))
			return &g.jobs[i];
	if (g.njobs == JOBS_MAX || len >= sizeof(g.jobs[0].id))
		return NULL;
	snprintf(g.jobs[g.njobs].id, sizeof(g.jobs[0].id), "%.*s", (int)len,
		 task);
	return &g.jobs[g.njobs++];
}

/* A run of the task begins (1) or ends (-1). */
static void count_run(const char *task, int by)
{
	struct job *job = job_of(task);

	if (job)
		job->at_work += by;
}

/*
 * Whether there is capacity for a task of the job twice over, and under half of
 * the service's capacity is in use.
 */
static int has_capacity(const struct job *job)
{
	double used = 0, capacity = 0;
	int i, room = 0;
	size_t j;

	for (i = 0; i < g.nworkers; i++) {
		const struct worker *t = &g.workers[i];
		double cpu = 0;

		if (!t->up || t->draining)
			continue;
		for (j = 0; j < t->nruns; j++)
			cpu += t->runs[j]->cpu;
		used += cpu;
		capacity += t->cpu;
		room += (int)((t->cpu - cpu) / job->need);
	}
	return room >= 2 && 2 * used < capacity;
}

static void watch_jobs(int64_t now)
{
	int i;

	for (i = 0; i < g.njobs; i++) {
		struct job *job = &g.jobs[i];
		int64_t from;

		if (job->at_work || job->done >= job->total ||
		    !has_capacity(job)) {
			job->idle_since = 0;
			continue;
		}
		if (!job->idle_since)
			job->idle_since = now;
		from = job->idle_since > g.watched_from ? job->idle_since
							: g.watched_from;
		if (g.watched_from && now - from > job->worst)
			job->worst = now - from;
	}
}

static const char *str(json_t *o, const char *name)
{
	const char *text = json_string_value(json_object_get(o, name));

	return text ? text : "";
}

/* Why the store does not take the transaction at all; NULL: it does. */
static const char *fault_of_tx(json_t *root, size_t len)
{
	json_t *writes = json_object_get(root, "writes"), *o;
	size_t i, n = json_array_size(writes) +
		      json_array_size(json_object_get(root, "remove")) +
		      json_array_size(json_object_get(root,
						      "expectedRevision"));

	if (!json_is_object(root))
		return "not JSON";
	if (n > TX_ENTRIES_MAX)
		return "more than 100 entries";
	if (len > TX_BYTES_MAX)
		return "more than 1 MB";
	json_array_foreach(writes, i, o) {
		const char *value = str(o, "value");
		size_t bytes = strlen(value) / 4 * 3;

		bytes -= bytes && value[strlen(value) - 1] == '=';
		bytes -= bytes && value[strlen(value) - 2] == '=';
		if (bytes <= ROW_BYTES_MAX)
			continue;
		g.refused_rows++;
		say("store: refused, the value of row %s/%s/%s has %zu bytes, "
		    "rowBytes is %d (a transaction of %zu writes)",
		    str(o, "table"), str(o, "part"), str(o, "key"), bytes,
		    ROW_BYTES_MAX, json_array_size(writes));
		return "a value is longer than rowBytes";
	}
	return NULL;
}

/* Returns the status; adds the current rows if the conditions don't hold. */
static unsigned transact(json_t *root, json_t *current)
{
	json_t *o;
	size_t i;
	int hold = 1;

	json_array_foreach(json_object_get(root, "expectedRevision"), i, o) {
		struct row *row = find_row(str(o, "table"), str(o, "part"),
					   str(o, "key"));
		int64_t version = row && row->value ? row->version : 0;

		hold &= json_integer_value(json_object_get(
				o, "recordVersion")) == version;
		if (row && row->value)
			json_array_append_new(current, row_json(row));
	}
	if (!hold)
		return 412;
	g.version++;
	json_array_foreach(json_object_get(root, "writes"), i, o)
		put_row(str(o, "table"), str(o, "part"), str(o, "key"),
			str(o, "value"));
	json_array_foreach(json_object_get(root, "remove"), i, o)
		put_row(str(o, "table"), str(o, "part"), str(o, "key"), NULL);
	return 200;
}

static enum fake_action do_tx(struct fake_request *r)
{
	json_t *root = json_loadb(r->body ? r->body : "", r->len, 0, NULL);
	json_t *current = json_array();
	const char *fault = fault_of_tx(root, r->len);
	unsigned status;

	if (fault) {
		json_decref(root);
		json_decref(current);
		return fake_reply_error(r, 400, fault);
	}
	status = transact(root, current);
	json_decref(root);
	if (status == 200)
		json_array_clear(current);
	return reply_rows(r, status, current, 0, g.version);
}

/* --- waiting ------------------------------------------------------------ */

static void on_recheck(struct fake_timer *t)
{
	fake_request_resume((struct fake_request *)(
		(char *)t - offsetof(struct fake_request, timer)));
}

static struct wait *wait_of(struct fake_request *r)
{
	struct wait *w = r->data;

	if (!w) {
		w = calloc(1, sizeof(*w));
		w->since = clock_ms();
		r->data = w;
	}
	return w;
}

static enum fake_action suspend(struct fake_request *r)
{
	wait_of(r);
	fake_request_suspend(r);
	r->timer.fire = on_recheck;
	fake_timers_add(&r->conn->srv->timers, &r->timer, TICK_US);
	return FAKE_SUSPENDED;
}

static enum fake_action store(struct fake_request *r)
{
	int write = !strcmp(r->path, "/api/rows-tx");
	struct wait *w = r->data;

	if (g.silent)
		return suspend(r);
	if (g.down)
		return fake_reply_error(r, 503, "unavailable");
	if (!w && g.slow_ms) {
		w = wait_of(r);
		w->until = w->since + g.slow_ms;
	}
	if (write && !(w && w->fate) && percent(g.lose)) {
		w = wait_of(r);
		w->fate = percent(g.late) ? LATE_CALL : NO_ANSWER;
		if (w->fate == LATE_CALL)
			w->until = w->since + 1000 + rand_r(&g.seed) % 5000;
	}
	if (w && w->until > clock_ms())
		return suspend(r);
	if (w && w->fate && !w->lost) {
		w->lost = 1; /* done, and never answered */
		do_tx(r);
		free(r->reply.body);
		memset(&r->reply, 0, sizeof(r->reply));
	}
	if (w && w->lost)
		return clock_ms() - w->since > 20000 ? FAKE_DROP : suspend(r);
	if (write)
		return do_tx(r);
	if (!strcmp(r->path, "/api/rows-get"))
		return get_rows(r);
	if (!strcmp(r->path, "/api/rows-feed"))
		return get_feed(r);
	return fake_reply_error(r, 404, "no such call");
}

/* --- workers ------------------------------------------------------------ */

static int64_t worker_clock(const struct worker *t)
{
	return clock_ms() - t->clock_zero;
}

static void write_entry(struct worker *t)
{
	char text[512], leaves[64] = "";

	t->written_at = clock_ms();
	if (t->draining)
		snprintf(leaves, sizeof(leaves), ",\"remainingMs\":%lld",
			 (long long)(t->leaves_at > t->written_at
					     ? t->leaves_at - t->written_at
					     : 0));
	snprintf(text, sizeof(text),
		 "{\"service\":\"desk\",\"address\":\"127.0.0.1:%d\",\"zone\":"
		 "\"%s\",\"version\":\"v1\",\"slots\":8,\"state\":\"%s\","
		 "\"capacity\":{\"cpu\":%.0f,\"taskMemoryMb\":65536},"
		 "\"labels\":[\"a\",\"r1-%d\"],\"born\":%lld,\"sequence\":%lld"
		 "%s}",
		 g.first_port + 1 + t->index, t->zone,
		 t->draining ? "draining" : "ready", t->cpu, t->index / 4 + 1,
		 (long long)t->born, (long long)clock_ms(), leaves);
	put_text("servers", t->id, text);
}

static void begin_life(struct worker *t, int same_id)
{
	static const char *const zones[] = { "sando", "penal", "couva" };
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	t->life++;
	if (!same_id)
		snprintf(t->id, sizeof(t->id), "w-%d-%d-%06x", t->index,
			 t->life, (unsigned)rand_r(&g.seed) & 0xffffff);
	snprintf(t->zone, sizeof(t->zone), "%s", zones[t->index % 3]);
	t->born = (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
	t->clock_zero = clock_ms() - 1000;
	t->last_end = t->fence = t->lease_until = 0;
	t->nruns = t->nends = 0;
	t->draining = 0;
	if (!t->highest)
		t->highest = json_object();
	json_object_clear(t->highest);
	t->up = 1;
	write_entry(t);
	say("worker %d is up as %s, born %lld", t->index, t->id,
	    (long long)t->born);
}

/* A port without a process refuses connections, one of a dark machine hangs. */
static void stop_listening(const struct worker *t)
{
	if (!t->dark)
		close(g.srv.listeners[t->index + 1]);
}

static void listen_again(const struct worker *t)
{
	struct sockaddr_in addr = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
		.sin_port = htons((uint16_t)(g.first_port + 1 + t->index)),
	};
	struct epoll_event ev = { .events = EPOLLIN };
	int one = 1, fd = socket(AF_INET,
				 SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&addr, sizeof(addr)) || listen(fd, 512))
		say("worker %d cannot listen again", t->index);
	ev.data.fd = fd;
	epoll_ctl(g.srv.epoll, EPOLL_CTL_ADD, fd, &ev);
	g.srv.listeners[t->index + 1] = fd;
}

static void crash(struct worker *t, int back_ms, int same_id)
{
	size_t i;

	if (!t->up)
		return;
	say("worker %d (%s) crashes with %zu runs%s", t->index, t->id,
	    t->nruns, back_ms ? "" : ", for good");
	for (i = 0; i < t->nruns; i++) {
		t->runs[i]->ended = clock_ms();
		t->runs[i]->how = "crashed";
		count_run(t->runs[i]->task, -1);
	}
	t->nruns = t->nends = 0;
	t->up = 0;
	stop_listening(t);
	t->same_id = same_id;
	t->down_until = back_ms ? clock_ms() + back_ms : 0;
	t->entry_gone_at = t->written_at + 3 * STATUS_MS;
}

static struct run *newest_run(const char *task)
{
	return (struct run *)(intptr_t)json_integer_value(
		json_object_get(g.tasks, task));
}

static int is_done(const char *task)
{
	const struct run *run;

	for (run = newest_run(task); run; run = run->task_next)
		if (run->how && !strcmp(run->how, "done"))
			return 1;
	return 0;
}

static void end_run(struct worker *t, size_t i, const char *how)
{
	struct run *run = t->runs[i];

	run->ended = clock_ms();
	count_run(run->task, -1);
	if (!strcmp(how, "done") && !is_done(run->task) && job_of(run->task))
		job_of(run->task)->done++;
	run->how = how;
	run->end_number = ++t->last_end;
	if (t->nends == t->cap_ends) {
		t->cap_ends = t->cap_ends * 2 + 64;
		t->ends = realloc(t->ends, t->cap_ends * sizeof(*t->ends));
	}
	t->ends[t->nends++] = run;
	json_object_set_new(t->highest, run->task, json_integer(run->number));
	t->runs[i] = t->runs[--t->nruns];
	say("end    %s run %lld on worker %d: %s", run->task,
	    (long long)run->number, t->index, how);
}

static void advance(struct worker *t, double elapsed)
{
	int64_t now = clock_ms();
	size_t i;

	if (!t->up) {
		if (t->down_until && now >= t->down_until) {
			if (!t->same_id && t->entry_gone_at) {
				put_text("servers", t->id, NULL);
				t->entry_gone_at = 0;
			}
			if (!t->dark)
				listen_again(t);
			begin_life(t, t->same_id);
		} else if (t->entry_gone_at && now >= t->entry_gone_at) {
			put_text("servers", t->id, NULL);
			t->entry_gone_at = 0;
		}
		return;
	}
	if (now - t->written_at >= STATUS_MS)
		write_entry(t);
	for (i = t->nruns; i-- > 0;) {
		struct run *run = t->runs[i];

		if (!t->hang)
			run->done_ms += elapsed / (t->slow > 1 ? t->slow : 1);
		if (run->done_ms >= run->work_ms)
			end_run(t, i, run->fails ? "failed" : "done");
		else if (worker_clock(t) >= t->lease_until)
			end_run(t, i, "lapsed");
	}
	if (worker_clock(t) >= t->lease_until)
		for (i = 0; i < t->nends; i++)
			t->ends[i]->lapsed_since = 1;
	if (t->draining && now >= t->leaves_at) {
		crash(t, 0, 0);
		put_text("servers", t->id, NULL);
		t->entry_gone_at = 0;
	}
}

static void on_tick(struct fake_timer *timer)
{
	static int64_t last;
	int64_t now = clock_ms();
	int i;

	apr_thread_mutex_lock(g.lock);
	for (i = 0; i < g.nworkers; i++)
		advance(&g.workers[i], last ? (double)(now - last) : 0);
	last = now;
	watch_jobs(now);
	apr_thread_mutex_unlock(g.lock);
	fake_timers_add(&g.srv.timers, timer, TICK_US);
}

static enum fake_action accepted(struct worker *t, struct fake_request *r)
{
	return fake_reply_json(r, 200,
			       json_pack("{s:I}", "clockMs",
					 (json_int_t)worker_clock(t)));
}

static enum fake_action refuse(struct worker *t, struct fake_request *r,
			       const char *reason)
{
	return fake_reply_json(r, 409,
			       json_pack("{s:I,s:s}", "clockMs",
					 (json_int_t)worker_clock(t), "reason",
					 reason));
}

static void renew(struct worker *t, json_t *body)
{
	int64_t until = 0, most = worker_clock(t) + LEASE_MAX_MS;

	fake_json_int(body, "untilMs", &until);
	if (until > most)
		until = most;
	if (until > t->lease_until)
		t->lease_until = until;
}

static size_t find_run(struct worker *t, const char *task, int64_t number)
{
	size_t i;

	for (i = 0; i < t->nruns; i++)
		if (t->runs[i]->number == number &&
		    !strcmp(t->runs[i]->task, task))
			break;
	return i;
}

static void parse_list(const char *text, const char *name, int *to, int none)
{
	const char *at = strstr(text, name);
	int i;

	at = at ? at + strlen(name) : NULL;
	for (i = 0; i < STEPS_MAX; i++) {
		to[i] = at && *at != '-' ? atoi(at) : none;
		/* The last value holds for the steps that follow. */
		if (at && at[strcspn(at, ", ")] == ',')
			at += strcspn(at, ", ") + 1;
	}
}

static void parse_spec(struct spec *s, const char *text)
{
	const char *id = strstr(text, "id=");
	int i;

	memset(s, 0, sizeof(*s));
	if (id)
		snprintf(s->id, sizeof(s->id), "%.*s",
			 (int)strcspn(id + 3, " "), id + 3);
	parse_list(text, "ms=", s->ms, 100);
	parse_list(text, "cpu=", s->cpu, 1000);
	parse_list(text, " n=", s->n, 0);
	parse_list(text, "after=", s->after, -1);
	parse_list(text, "aa=", s->aa, 0);
	parse_list(text, "fail=", s->fail, 0);
	for (i = 0; strstr(text, "chain") && i < STEPS_MAX; i++)
		s->after[i] = i - 1;
	s->nsteps = strstr(text, "steps=") ?
			    atoi(strstr(text, "steps=") + 6) : 1;
	s->loose = strstr(text, "loose") != NULL;
}

static void check_start(struct worker *t, const struct run *run,
			const struct spec *s)
{
	const struct run *other;
	double cpu = run->cpu;
	size_t i;
	int same = 1, failed = 0;
	char name[TEXT_MAX * 2];

	for (other = newest_run(run->task); other; other = other->task_next) {
		if (!other->ended)
			violation("TWICE", "two runs at the same time",
				  run->task);
		else if (s->loose)
			continue;
		else if (!strcmp(other->how, "done") && other->noted)
			violation("TWICE", "a start after its end was noted",
				  run->task);
		else if (!strcmp(other->how, "failed") && other->noted)
			failed++;
	}
	if (failed >= g.max_attempts)
		violation("BUDGET", "started after maxAttempts", run->task);
	for (i = 0; i < t->nruns; i++) {
		cpu += t->runs[i]->cpu;
		same += t->runs[i]->step == run->step &&
			!strncmp(t->runs[i]->task, run->task,
				 strcspn(run->task, ".") + 1);
	}
	if (cpu > t->cpu)
		violation("LIMIT", "over its capacity", t->id);
	if (s->aa[run->step] && same > s->aa[run->step])
		violation("ROUTE", "beyond antiAffinity", run->task);
	if (s->id[0] && strncmp(s->id, run->task, strlen(s->id)) != 0)
		violation("UNASKED", "another job's specification", run->task);
	if (s->after[run->step] >= 0)
		for (i = 0; (int)i < s->n[s->after[run->step]]; i++) {
			snprintf(name, sizeof(name), "%.*s.0.%d.%zu",
				 (int)strcspn(run->task, "."), run->task,
				 s->after[run->step], i);
			if (!is_done(name))
				violation("ORDER", "a step before is not done",
					  run->task);
		}
	if (t->draining && clock_ms() - t->draining_at > 4000)
		violation("DRAIN", "started on a draining worker", run->task);
}

static enum fake_action start(struct worker *t, json_t *body,
			      struct fake_request *r)
{
	const char *task = str(body, "task");
	int64_t number = 0, until = 0;
	json_t *highest = json_object_get(t->highest, task);
	struct run *run;
	struct spec s;
	int i;

	fake_json_int(body, "run", &number);
	fake_json_int(body, "untilMs", &until);
	if (!*task || number < 1)
		return fake_reply_error(r, 400, "malformed");
	if (until <= worker_clock(t))
		return refuse(t, r, "late");
	if (find_run(t, task, number) < t->nruns)
		return accepted(t, r);
	renew(t, body);
	if (highest && number <= json_integer_value(highest))
		return refuse(t, r, "old");
	if (t->nruns == RUNS_MAX)
		return refuse(t, r, "room");
	parse_spec(&s, str(body, "specification"));
	run = calloc(1, sizeof(*run));
	snprintf(run->task, sizeof(run->task), "%s", task);
	sscanf(task + strcspn(task, "."), ".%*d.%d.%d", &run->step,
	       &run->index);
	if (run->step < 0 || run->step >= STEPS_MAX)
		run->step = 0;
	run->number = number;
	run->worker = t->index;
	run->life = t->life;
	run->started = clock_ms();
	run->work_ms = s.ms[run->step];
	run->cpu = s.cpu[run->step];
	run->fails = percent(s.fail[run->step]);
	run->loose = s.loose;
	check_start(t, run, &s);
	run->task_next = newest_run(task);
	run->next = g.runs;
	g.runs = run;
	json_object_set_new(g.tasks, task, json_integer((intptr_t)run));
	t->runs[t->nruns++] = run;
	count_run(task, 1);
	if (job_of(task))
		for (i = 0, job_of(task)->total = 0; i < s.nsteps; i++) {
			job_of(task)->total += s.n[i];
			if (s.cpu[i] > job_of(task)->need)
				job_of(task)->need = s.cpu[i];
		}
	say("start  %s run %lld on worker %d (%s)", task, (long long)number,
	    t->index, t->id);
	return accepted(t, r);
}

static enum fake_action stop(struct worker *t, json_t *body,
			     struct fake_request *r)
{
	const char *task = str(body, "task");
	json_t *highest = json_object_get(t->highest, task);
	int64_t number = 0;
	size_t i;

	fake_json_int(body, "run", &number);
	i = find_run(t, task, number);
	if (i < t->nruns)
		end_run(t, i, "stopped");
	else if (!highest || number > json_integer_value(highest))
		json_object_set_new(t->highest, task, json_integer(number));
	return accepted(t, r);
}

static void note_ends(struct worker *t, int64_t seen)
{
	size_t i = 0;

	for (; i < t->nends && t->ends[i]->end_number <= seen; i++) {
		struct run *run = t->ends[i], *other;

		run->noted = !run->lapsed_since;
		if (run->loose || !run->noted || strcmp(run->how, "done") != 0)
			continue;
		for (other = newest_run(run->task); other;
		     other = other->task_next)
			if (other->started > run->ended)
				violation("TWICE",
					  "started after an end that is noted "
					  "now",
					  run->task);
	}
	t->nends -= i;
	memmove(t->ends, t->ends + i, t->nends * sizeof(*t->ends));
}

static enum fake_action hold(struct worker *t, json_t *body,
			     struct fake_request *r)
{
	int64_t seen = 0, wait_ms = 0;
	json_t *running, *finished;
	struct wait *w = r->data;
	size_t i;

	fake_json_int(body, "lastSeen", &seen);
	fake_json_int(body, "waitMs", &wait_ms);
	if (!r->resumed || (w && w->fate)) {
		renew(t, body);
		note_ends(t, seen);
	}
	if (!t->nends && wait_ms && !(w && w->fate) &&
	    (!w || clock_ms() - w->since < wait_ms))
		return suspend(r);
	running = json_array();
	finished = json_array();
	for (i = 0; i < t->nruns; i++)
		json_array_append_new(
			running,
			json_pack("[s,I,s,i,i]", t->runs[i]->task,
				  (json_int_t)t->runs[i]->number, "",
				  (int)(100 * t->runs[i]->done_ms /
					t->runs[i]->work_ms),
				  (int)t->runs[i]->cpu));
	for (i = 0; i < t->nends && i < ENDS_A_REPLY; i++)
		json_array_append_new(
			finished,
			json_pack("[I,s,I,s,s]",
				  (json_int_t)t->ends[i]->end_number,
				  t->ends[i]->task,
				  (json_int_t)t->ends[i]->number,
				  t->ends[i]->how, ""));
	return fake_reply_json(r, 200,
			       json_pack("{s:I,s:I,s:o,s:o}", "clockMs",
					 (json_int_t)worker_clock(t), "born",
					 (json_int_t)t->born, "running",
					 running, "finished", finished));
}

static enum fake_action carry_out(struct worker *t, struct fake_request *r)
{
	const char *expected = fake_request_header(
		r, "X-Rosemarypoint-Expected-Instance");
	enum fake_action action;
	int64_t fence = 0;
	json_t *body;

	if (expected && strcmp(expected, t->id) != 0)
		return fake_reply_error(r, 421, "another boot");
	body = json_loadb(r->body ? r->body : "", r->len, 0, NULL);
	fake_json_int(body, "fencingToken", &fence);
	if (fence < t->fence) {
		json_decref(body);
		return refuse(t, r, "fence");
	}
	t->fence = fence;
	if (!strcmp(r->path, "/api/run-start"))
		action = start(t, body, r);
	else if (!strcmp(r->path, "/api/run-stop"))
		action = stop(t, body, r);
	else if (!strcmp(r->path, "/api/hold"))
		action = hold(t, body, r);
	else
		action = fake_reply_error(r, 404, "no such call");
	json_decref(body);
	return action;
}

static enum fake_action worker(struct worker *t, struct fake_request *r)
{
	struct wait *w = r->data;

	if (!t->up)
		return t->dark && !(w && w->lost) ? suspend(r) : FAKE_DROP;
	if (t->silent && !(w && w->lost))
		return suspend(r);
	if (!r->resumed && percent(t->losing)) {
		w = wait_of(r);
		w->fate = LATE_CALL;
		w->until = w->since + 2000 + rand_r(&g.seed) % 8000;
	}
	if (w && w->fate) {
		if (clock_ms() < w->until)
			return suspend(r);
		if (!w->lost) {
			w->lost = 1;
			say("late   %s %.80s", r->path, r->body);
			if (carry_out(t, r) == FAKE_REPLY) {
				free(r->reply.body);
				memset(&r->reply, 0, sizeof(r->reply));
			}
		}
		return FAKE_DROP;
	}
	return carry_out(t, r);
}

/* --- control ------------------------------------------------------------ */

static int get(json_t *o, const char *name, int otherwise)
{
	int64_t n = otherwise;

	fake_json_int(o, name, &n);
	return (int)n;
}

static struct worker *worker_of(json_t *o)
{
	const char *task = str(o, "task");
	const struct run *run = *task ? newest_run(task) : NULL;
	int i = get(o, "worker", -1);

	if (*task)
		i = run && !run->ended ? run->worker : -1;
	return i >= 0 && i < g.nworkers ? &g.workers[i] : NULL;
}

static enum fake_action control_worker(struct fake_request *r, json_t *o)
{
	struct worker *t = worker_of(o);

	if (!t)
		return fake_reply_error(r, 404, "no such worker");
	t->silent = get(o, "silent", t->silent);
	t->losing = get(o, "losing", t->losing);
	t->hang = get(o, "hang", t->hang);
	t->slow = get(o, "slow", (int)t->slow);
	if (json_object_get(o, "drain_ms") && t->up && !t->draining) {
		t->draining = 1;
		t->draining_at = clock_ms();
		t->leaves_at = t->draining_at + get(o, "drain_ms", 0);
		write_entry(t);
		say("worker %d drains", t->index);
	}
	t->dark = get(o, "dark", t->dark);
	if (json_object_get(o, "crash"))
		crash(t, get(o, "back_ms", 0), get(o, "same_id", 0));
	return fake_reply_json(r, 200, json_pack("{s:i,s:i}", "worker",
						 t->index, "up", t->up));
}

static enum fake_action control_store(struct fake_request *r, json_t *o)
{
	g.down = get(o, "down", g.down);
	g.silent = get(o, "silent", g.silent);
	g.lose = get(o, "lose", g.lose);
	g.late = get(o, "late", g.late);
	g.slow_ms = get(o, "slow_ms", g.slow_ms);
	if (get(o, "compact", 0))
		g.compacted = ++g.version;
	say("store: down %d silent %d lose %d late %d slow %d", g.down,
	    g.silent, g.lose, g.late, g.slow_ms);
	return fake_reply_text(r, 200, "{}");
}

/* The runs of a task, and how they have ended. */
static enum fake_action control_task(struct fake_request *r, json_t *o)
{
	int starts = 0, done = 0, failed = 0, at_work = 0, on = -1;
	int64_t idle = 0;
	const struct run *run = newest_run(str(o, "task"));

	if (run)
		idle = run->ended ? clock_ms() - run->ended : 0;
	for (; run; run = run->task_next) {
		starts++;
		at_work += !run->ended;
		on = run->ended ? on : run->worker;
		done += run->how && !strcmp(run->how, "done");
		failed += run->how && !strcmp(run->how, "failed");
	}
	return fake_reply_json(
		r, 200,
		json_pack("{s:i,s:i,s:i,s:i,s:i,s:I}", "starts", starts,
			  "running", at_work, "done", done, "failed", failed,
			  "worker", on, "idle_ms", (json_int_t)idle));
}

static enum fake_action control_use(struct fake_request *r)
{
	double cpu = 0, capacity = 0, most = 0;
	size_t j, runs = 0;
	int i, up = 0;

	for (i = 0; i < g.nworkers; i++) {
		double used = 0;

		if (!g.workers[i].up)
			continue;
		up++;
		for (j = 0; j < g.workers[i].nruns; j++)
			used += g.workers[i].runs[j]->cpu;
		runs += g.workers[i].nruns;
		cpu += used;
		capacity += g.workers[i].cpu;
		if (g.workers[i].cpu - used > most)
			most = g.workers[i].cpu - used;
	}
	return fake_reply_json(
		r, 200,
		json_pack("{s:i,s:I,s:I,s:I,s:I,s:i,s:s,s:i}", "up", up, "cpu",
			  (json_int_t)cpu, "capacity", (json_int_t)capacity,
			  "most_room", (json_int_t)most, "runs",
			  (json_int_t)runs, "violations", g.violations,
			  "first", g.first, "refused_rows", g.refused_rows));
}

/* Jobs that had nothing running since the watch began. */
static enum fake_action control_jobs(struct fake_request *r)
{
	int i, open = 0, over = 0, worst = 0;

	for (i = 0; i < g.njobs; i++) {
		open += g.jobs[i].done < g.jobs[i].total;
		over += g.jobs[i].worst > 3000;
		if (g.jobs[i].worst > g.jobs[worst].worst)
			worst = i;
	}
	return fake_reply_json(
		r, 200,
		json_pack("{s:i,s:i,s:i,s:I,s:s}", "seen", g.njobs, "open",
			  open, "over_3_s", over, "worst_ms",
			  (json_int_t)g.jobs[worst].worst, "worst_job",
			  g.jobs[worst].id));
}

static enum fake_action control(struct fake_request *r)
{
	json_t *o = json_loadb(r->body ? r->body : "", r->len, 0, NULL);
	enum fake_action action;

	if (!strcmp(r->path, "/control/use"))
		action = control_use(r);
	else if (!strcmp(r->path, "/control/worker"))
		action = control_worker(r, o);
	else if (!strcmp(r->path, "/control/store"))
		action = control_store(r, o);
	else if (!strcmp(r->path, "/control/task"))
		action = control_task(r, o);
	else if (!strcmp(r->path, "/control/watch")) {
		g.watched_from = clock_ms();
		action = fake_reply_text(r, 200, "{}");
	} else if (!strcmp(r->path, "/control/jobs"))
		action = control_jobs(r);
	else if (!strcmp(r->path, "/control/config")) {
		put_text("op", "config", r->body);
		action = fake_reply_text(r, 200, "{}");
	} else
		action = fake_reply_error(r, 404, "no such control");
	json_decref(o);
	return action;
}

static enum fake_action handle(struct fake_request *r)
{
	enum fake_action action;

	apr_thread_mutex_lock(g.lock);
	if (!strncmp(r->path, "/control/", 9))
		action = control(r);
	else if (!r->conn->port)
		action = store(r);
	else
		action = worker(&g.workers[r->conn->port - 1], r);
	apr_thread_mutex_unlock(g.lock);
	if (action != FAKE_SUSPENDED) {
		free(r->data);
		r->data = NULL;
	}
	return action;
}

/* Arguments: IP:PORT, number of workers, CPU of each, maxAttempts, seed. */
int main(int argc, char **argv)
{
	static const struct fake_server_ops ops = { .handle = handle };
	char config[1024];
	int i, cpu = argc > 3 ? atoi(argv[3]) : 16000;

	if (argc < 3)
		return 2;
	apr_initialize();
	g.srv.ops = &ops;
	apr_pool_create(&g.srv.pool, NULL);
	apr_thread_mutex_create(&g.lock, APR_THREAD_MUTEX_DEFAULT, g.srv.pool);
	g.zero = clock_ms();
	g.tasks = json_object();
	g.first_port = atoi(strrchr(argv[1], ':') + 1);
	g.nworkers = atoi(argv[2]);
	if (g.nworkers < 1 || g.nworkers > WORKERS_MAX)
		return 2;
	g.max_attempts = argc > 4 ? atoi(argv[4]) : 3;
	g.seed = argc > 5 ? (unsigned)atoi(argv[5]) : 1;
	snprintf(config, sizeof(config),
		 "{\"version\":1,\"routes\":[{\"name\":\"q\",\"host\":"
		 "\"127.0.0.1\",\"pathPrefix\":\"/q/\",\"timeoutMs\":5000,"
		 "\"targetLatencyMs\":60,\"priority\":0,\"service\":\"desk\","
		 "\"maxAttempts\":%d,\"stretch\":1.6}],\"services\":[{\"name\":"
		 "\"desk\",\"rejectsOverload\":false}],\"limits\":{"
		 "\"maxBodyBytes\":262144}}",
		 g.max_attempts);
	put_text("op", "config", config);
	for (i = 0; i < g.nworkers; i++) {
		g.workers[i].index = i;
		g.workers[i].cpu = cpu;
		begin_life(&g.workers[i], 0);
	}
	if (fake_server_start(&g.srv, argv[1], (size_t)g.nworkers + 1, 1))
		return 2;
	g.tick.fire = on_tick;
	fake_timers_add(&g.srv.timers, &g.tick, TICK_US);
	fake_server_run(&g.srv);
	return 0;
}
