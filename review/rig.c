/*
 * Stand-ins for the scripts of the review: the users' platform with its store,
 * operator and workers, and a client. One thread, written after the users'
 * pages; it shares no code with the project.
 *
 *   rig ports                       prints the first of 200 free ports
 *   rig ids N                       prints ids of jobs of one part of the table
 *   rig platform PORT WORKERS RECORD   store on PORT, worker I on PORT + 1 + I
 *   rig call [-d MS] [-w MS] METHOD IP:PORT PATH [BODY]
 *                                   prints the status and the body
 *
 * A specification is a list of words such as "ms=500 fail=1": how long a task
 * works, and whether it ends as failed; "first_ms=100 first_fail=1" holds for the
 * task with index 0 instead. The script changes things by calls of
 * /control/... on the port of the store.
 */

#define _GNU_SOURCE
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <jansson.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define WORKERS_MAX 64
#define ENTRY_INTERVAL_MS 1500 /* heartbeatIntervalMs */
#define LEASE_MAX_MS 1000      /* maxHoldMs */
#define ROW_BYTES 65536	       /* rowBytes */
#define READ_MS 4	       /* the store's answer */
#define TX_MS 8		       /* transactionMs */
#define HOST "jobs.example"

static int64_t now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

static int64_t unix_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

/* --- record ------------------------------------------------------------- */

static FILE *record_file;
static int64_t started_at;

static void __attribute__((format(printf, 1, 2))) record(const char *fmt, ...)
{
	va_list ap;

	fprintf(record_file, "%8.3f ", (double)(now_ms() - started_at) / 1000);
	va_start(ap, fmt);
	vfprintf(record_file, fmt, ap);
	va_end(ap);
	fputc('\n', record_file);
	fflush(record_file);
}

/* --- connections -------------------------------------------------------- */

struct conn {
	struct conn *next;
	int fd;
	int port; /* 0: the store; else the worker's index + 1 */
	int via;  /* path to the store, from 1; 0: none */
	char *in;
	size_t nin, cap;
	char *out;
	size_t nout, sent;
	int closing; /* closed once all is sent */
	/* The request that is handled. */
	int pending;
	int64_t since;	  /* when it came */
	int64_t reply_at; /* the answer is ready and sent then; 0: not ready */
	char *reply;
	size_t reply_len;
	int late; /* an order that is left unanswered */
	int64_t do_at; /* when a write that is left unanswered is done */
	int mute; /* an answer was lost: nothing more comes */
	char method[8], path[512], expected[128];
	char *query, *body;
	size_t body_len;
};

static struct conn *conns;
/* Of the store, the workers, and the paths of single VMs to the store. */
#define PATHS 4
#define PORTS (WORKERS_MAX + 1 + PATHS)
#define PATH_PORT 70 /* the first one, after the store's */
static int listeners[PORTS];
static int first_port;

static int open_listener(int port)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	struct sockaddr_in sa = { .sin_family = AF_INET,
				  .sin_port = htons((uint16_t)port) };
	int on = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (bind(fd, (struct sockaddr *)&sa, sizeof(sa)) < 0 ||
	    listen(fd, 512) < 0) {
		close(fd);
		return -1;
	}
	return fd;
}

static void send_reply(struct conn *c, int status, json_t *root,
		       int64_t delay_ms)
{
	char *body = root ? json_dumps(root, JSON_COMPACT) : strdup("{}");
	char *text = NULL;
	int n = asprintf(&text,
			 "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
			 "Content-Length: %zu\r\n\r\n%s",
			 status, strlen(body), body);

	json_decref(root);
	free(body);
	c->reply = text;
	c->reply_len = (size_t)n;
	c->reply_at = now_ms() + delay_ms;
}

static void conn_free(struct conn *c)
{
	struct conn **at = &conns;

	while (*at != c)
		at = &(*at)->next;
	*at = c->next;
	close(c->fd);
	free(c->in);
	free(c->out);
	free(c->reply);
	free(c->query);
	free(c->body);
	free(c);
}

/* --- store -------------------------------------------------------------- */

struct row {
	char table[64], part[64], key[256];
	char *value; /* base64; NULL: removed */
	int64_t version;
};

static struct row *rows;
static size_t nrows, cap_rows;
static int64_t store_version;
static uint64_t refused_rows;

static struct row *find_row(const char *table, const char *part,
			    const char *key)
{
	size_t i;

	for (i = 0; i < nrows; i++)
		if (!strcmp(rows[i].key, key) && !strcmp(rows[i].part, part) &&
		    !strcmp(rows[i].table, table))
			return &rows[i];
	return NULL;
}

static void put_row(const char *table, const char *part, const char *key,
		    const char *value)
{
	struct row *r = find_row(table, part, key);

	if (!r) {
		if (nrows == cap_rows) {
			cap_rows = cap_rows * 2 + 64;
			rows = realloc(rows, cap_rows * sizeof(*rows));
		}
		r = &rows[nrows++];
		memset(r, 0, sizeof(*r));
		snprintf(r->table, sizeof(r->table), "%s", table);
		snprintf(r->part, sizeof(r->part), "%s", part);
		snprintf(r->key, sizeof(r->key), "%s", key);
	}
	free(r->value);
	r->value = value ? strdup(value) : NULL;
	r->version = store_version;
}

static char *base64(const char *text)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				     "abcdefghijklmnopqrstuvwxyz0123456789+/";
	size_t n = strlen(text), i;
	char *out = malloc(n * 4 / 3 + 8), *o = out;

	for (i = 0; i < n; i += 3) {
		uint32_t v = (uint32_t)(unsigned char)text[i] << 16;

		if (i + 1 < n)
			v |= (uint32_t)(unsigned char)text[i + 1] << 8;
		if (i + 2 < n)
			v |= (uint32_t)(unsigned char)text[i + 2];
		*o++ = digits[v >> 18 & 63];
		*o++ = digits[v >> 12 & 63];
		*o++ = i + 1 < n ? digits[v >> 6 & 63] : '=';
		*o++ = i + 2 < n ? digits[v & 63] : '=';
	}
	*o = '\0';
	return out;
}

/* Writes a row of the operator or of a worker. */
static void put_text(const char *table, const char *key, const char *text)
{
	char *value = text ? base64(text) : NULL;

	store_version++;
	put_row(table, "", key, value);
	free(value);
}

static json_t *row_json(const struct row *r)
{
	json_t *o = json_pack("{s:s,s:s,s:s,s:I}", "table", r->table, "part",
			      r->part, "key", r->key, "recordVersion",
			      (json_int_t)r->version);

	if (r->value)
		json_object_set_new(o, "value", json_string(r->value));
	else
		json_object_set_new(o, "removed", json_true());
	return o;
}

static void reply_rows(struct conn *c, int status, json_t *list, int more,
		       int64_t delay)
{
	send_reply(c, status,
		   json_pack("{s:o,s:b,s:I,s:I}", "rows", list, "hasMore", more,
			     "recordVersion", (json_int_t)store_version,
			     "nowMs", (json_int_t)now_ms()),
		   delay);
}

/* Copies an argument of the query, decoded; "" if it is absent. */
static void query_arg(const struct conn *c, const char *name, char *to,
		      size_t size)
{
	const char *at = c->query;
	size_t n = strlen(name), len = 0;

	*to = '\0';
	while (at && *at) {
		if (!strncmp(at, name, n) && at[n] == '=') {
			at += n + 1;
			while (*at && *at != '&' && len + 1 < size) {
				unsigned v;

				if (*at == '%' &&
				    sscanf(at + 1, "%2x", &v) == 1) {
					to[len++] = (char)v;
					at += 3;
				} else {
					to[len++] = *at++;
				}
			}
			to[len] = '\0';
			return;
		}
		at = strchr(at, '&');
		at += at != NULL;
	}
}

static int by_key(const void *a, const void *b)
{
	return strcmp((*(struct row *const *)a)->key,
		      (*(struct row *const *)b)->key);
}

static int by_version(const void *a, const void *b)
{
	int64_t x = (*(struct row *const *)a)->version;
	int64_t y = (*(struct row *const *)b)->version;

	return x < y ? -1 : x > y;
}

static void rows_get(struct conn *c)
{
	char table[64], part[64], from[256], to[256], limit_text[16];
	struct row **found = calloc(nrows + 1, sizeof(*found));
	size_t i, n = 0, limit, bytes = 0;
	json_t *list = json_array();

	query_arg(c, "table", table, sizeof(table));
	query_arg(c, "part", part, sizeof(part));
	query_arg(c, "from", from, sizeof(from));
	query_arg(c, "to", to, sizeof(to));
	query_arg(c, "limit", limit_text, sizeof(limit_text));
	limit = strtoul(limit_text, NULL, 10);
	if (!limit || limit > 500)
		limit = 500;
	for (i = 0; i < nrows; i++)
		if (rows[i].value && !strcmp(rows[i].table, table) &&
		    !strcmp(rows[i].part, part) &&
		    strcmp(rows[i].key, from) >= 0 &&
		    (!to[0] || strcmp(rows[i].key, to) < 0))
			found[n++] = &rows[i];
	qsort(found, n, sizeof(*found), by_key);
	for (i = 0; i < n && i < limit && bytes < 1000000; i++) {
		bytes += strlen(found[i]->value);
		json_array_append_new(list, row_json(found[i]));
	}
	free(found);
	reply_rows(c, 200, list, i < n, READ_MS);
}

static void rows_feed(struct conn *c)
{
	char table[64], after_text[32], wait_text[32];
	struct row **found;
	json_t *list;
	int64_t after;
	size_t i, n = 0;

	query_arg(c, "table", table, sizeof(table));
	query_arg(c, "after", after_text, sizeof(after_text));
	query_arg(c, "waitMs", wait_text, sizeof(wait_text));
	after = atoll(after_text);
	found = calloc(nrows + 1, sizeof(*found));
	for (i = 0; i < nrows; i++)
		if (rows[i].version > after && !strcmp(rows[i].table, table))
			found[n++] = &rows[i];
	if (!n && now_ms() - c->since < atoll(wait_text)) {
		free(found);
		return; /* looked at again */
	}
	list = json_array();
	qsort(found, n, sizeof(*found), by_version);
	for (i = 0; i < n; i++)
		json_array_append_new(list, row_json(found[i]));
	free(found);
	reply_rows(c, 200, list, 0, READ_MS);
}

static const char *text_of(json_t *o, const char *name)
{
	const char *s = json_string_value(json_object_get(o, name));

	return s ? s : "";
}

static int64_t int_of(json_t *o, const char *name, int64_t if_absent)
{
	json_t *n = json_object_get(o, name);

	return json_is_integer(n) ? json_integer_value(n) : if_absent;
}

/* Whether a transaction keeps the store's limits. */
static int within_limits(struct conn *c, json_t *cond, json_t *writes,
			 json_t *removals)
{
	size_t i;

	if (json_array_size(cond) + json_array_size(writes) +
			    json_array_size(removals) >
		    100 ||
	    c->body_len > 1000000) {
		record("store refuses a transaction of %zu bytes", c->body_len);
		return 0;
	}
	for (i = 0; i < json_array_size(writes); i++) {
		json_t *o = json_array_get(writes, i);
		size_t bytes = strlen(text_of(o, "value")) / 4 * 3;

		if (bytes <= ROW_BYTES + 2)
			continue;
		if (!refused_rows++ || refused_rows % 50 == 0)
			record("store refuses row %s of %s: %zu bytes, "
			       "rowBytes is %d (refusal %llu)",
			       text_of(o, "key"), text_of(o, "table"), bytes,
			       ROW_BYTES, (unsigned long long)refused_rows);
		return 0;
	}
	return 1;
}

static void rows_tx(struct conn *c)
{
	json_t *root = json_loadb(c->body ? c->body : "", c->body_len, 0, NULL);
	json_t *cond = json_object_get(root, "expectedRevision");
	json_t *writes = json_object_get(root, "writes");
	json_t *removals = json_object_get(root, "remove");
	json_t *current = json_array();
	size_t i;
	int holds = 1;

	if (!within_limits(c, cond, writes, removals)) {
		json_decref(root);
		json_decref(current);
		send_reply(c, 400, NULL, TX_MS);
		return;
	}
	for (i = 0; i < json_array_size(cond); i++) {
		json_t *o = json_array_get(cond, i);
		struct row *r = find_row(text_of(o, "table"),
					 text_of(o, "part"), text_of(o, "key"));

		if ((r && r->value ? r->version : 0) !=
		    int_of(o, "recordVersion", 0))
			holds = 0;
		if (r && r->value)
			json_array_append_new(current, row_json(r));
	}
	if (!holds) {
		json_decref(root);
		reply_rows(c, 412, current, 0, TX_MS);
		return;
	}
	json_decref(current);
	store_version++;
	for (i = 0; i < json_array_size(writes); i++) {
		json_t *o = json_array_get(writes, i);

		put_row(text_of(o, "table"), text_of(o, "part"),
			text_of(o, "key"), text_of(o, "value"));
	}
	for (i = 0; i < json_array_size(removals); i++) {
		json_t *o = json_array_get(removals, i);

		put_row(text_of(o, "table"), text_of(o, "part"),
			text_of(o, "key"), NULL);
	}
	json_decref(root);
	reply_rows(c, 200, json_array(), 0, TX_MS);
}

/* --- workers ------------------------------------------------------------ */

struct run {
	char task[64];
	int64_t run;
	double done_ms, work_ms;
	int fails;
};

struct end {
	int64_t number, run;
	char task[64];
	const char *how;
};

struct stopped {
	char task[64];
	int64_t run;
};

struct worker {
	int index;
	char id[64], zone[16], kind[16], rack[16];
	int up, gone;
	int64_t up_at; /* when it starts again; 0: it does not */
	int64_t boot_at, born, written_at, silent_since;
	int64_t sequence, token, lease_until, advanced_at, last_end;
	int lease_held;
	int entry_gone; /* from the store, though the worker is up */
	int64_t refuses_until; /* it is unhealthy and refuses starts */
	/* It is grey: of five starts it serves three, does the next and resets
	 * the channel without an answer, and refuses the last with 503. */
	int64_t grey_until;
	unsigned grey_starts;
	int resets; /* the channel of this start */
	int64_t hold_delay;    /* ms by which its answers to holds come later */
	struct run *runs;
	size_t nruns, cap_runs;
	struct end *ends;
	size_t nends, cap_ends;
	struct stopped *stopped; /* highest run of a task that has ended */
	size_t nstopped, cap_stopped;
};

static struct worker workers[WORKERS_MAX];
static int nworkers;
static int64_t capacity_cpu = 16000;

static int64_t clock_of(const struct worker *w)
{
	return now_ms() - w->boot_at;
}

/*
 * A zone is cut off: its VM reaches the workers of the zone alone, and the other
 * VMs reach the others. The workers of the zone do not reach the store.
 */
static char cut_zone[16];
static int64_t zone_cut_until;
static int zone_cut_resets; /* channels across the cut are reset */

static int is_in_cut_zone(const struct worker *w)
{
	return now_ms() < zone_cut_until && !strcmp(w->zone, cut_zone);
}

static void write_entry(struct worker *w)
{
	char text[512];

	w->written_at = now_ms();
	snprintf(text, sizeof(text),
		 "{\"service\":\"desk\",\"address\":\"127.0.0.1:%d\","
		 "\"zone\":\"%s\",\"version\":\"v1\",\"slots\":8,"
		 "\"state\":\"ready\",\"coldRemainingMs\":0,"
		 "\"capacity\":{\"cpu\":%lld,\"taskMemoryMb\":65536},"
		 "\"labels\":[\"%s\",\"%s\"],\"born\":%lld,\"sequence\":%lld}",
		 first_port + 1 + w->index, w->zone, (long long)capacity_cpu,
		 w->kind, w->rack, (long long)w->born,
		 (long long)++w->sequence);
	put_text("servers", w->id, text);
}

/* A worker that starts holds and knows nothing of before. */
static void boot(struct worker *w)
{
	w->up = 1;
	w->up_at = 0;
	w->boot_at = w->advanced_at = now_ms();
	w->born = unix_ms();
	w->sequence = w->token = w->lease_until = w->last_end = 0;
	w->lease_held = 0;
	w->nruns = w->nends = w->nstopped = 0;
	listeners[w->index + 1] = open_listener(first_port + 1 + w->index);
	if (listeners[w->index + 1] < 0)
		record("worker %s cannot listen", w->id);
	write_entry(w);
	record("worker %s starts, zone %s, kind %s", w->id, w->zone, w->kind);
}

/* down_ms 0: for good. */
static void crash(struct worker *w, int64_t down_ms)
{
	struct conn *c, *next;
	size_t i;

	record("worker %s crashes with %zu runs, %s", w->id, w->nruns,
	       down_ms ? "and starts again" : "for good");
	for (i = 0; i < w->nruns; i++)
		record("  lost with it: %s run %lld", w->runs[i].task,
		       (long long)w->runs[i].run);
	w->up = 0;
	w->gone = !down_ms;
	w->up_at = down_ms ? now_ms() + down_ms : 0;
	w->silent_since = now_ms();
	w->nruns = w->nends = w->nstopped = 0;
	close(listeners[w->index + 1]);
	listeners[w->index + 1] = -1;
	for (c = conns; c; c = next) {
		next = c->next;
		if (c->port == w->index + 1)
			conn_free(c);
	}
}

static void add_end(struct worker *w, const struct run *r, const char *how)
{
	struct stopped *s = NULL;
	size_t i;

	if (w->nends == w->cap_ends) {
		w->cap_ends = w->cap_ends * 2 + 64;
		w->ends = realloc(w->ends, w->cap_ends * sizeof(*w->ends));
	}
	w->ends[w->nends] = (struct end){ .number = ++w->last_end,
					  .run = r->run,
					  .how = how };
	snprintf(w->ends[w->nends++].task, sizeof(r->task), "%s", r->task);
	record("worker %s: %s run %lld ends %s", w->id, r->task,
	       (long long)r->run, how);
	for (i = 0; i < w->nstopped; i++)
		if (!strcmp(w->stopped[i].task, r->task))
			s = &w->stopped[i];
	if (!s) {
		if (w->nstopped == w->cap_stopped) {
			w->cap_stopped = w->cap_stopped * 2 + 64;
			w->stopped = realloc(w->stopped,
					     w->cap_stopped *
						     sizeof(*w->stopped));
		}
		s = &w->stopped[w->nstopped++];
		snprintf(s->task, sizeof(s->task), "%s", r->task);
		s->run = 0;
	}
	if (r->run > s->run)
		s->run = r->run;
}

static void end_run(struct worker *w, size_t i, const char *how)
{
	struct run r = w->runs[i];

	w->runs[i] = w->runs[--w->nruns];
	add_end(w, &r, how);
}

static void advance(struct worker *w)
{
	int64_t now = now_ms();
	double passed = (double)(now - w->advanced_at);
	size_t i;

	w->advanced_at = now;
	if (!w->up && w->up_at && now >= w->up_at)
		boot(w);
	if (!w->up) {
		/* Three status report intervals of silence. */
		if (w->silent_since &&
		    now - w->silent_since >= 3 * ENTRY_INTERVAL_MS) {
			w->silent_since = 0;
			put_text("servers", w->id, NULL);
			record("the entry of worker %s is removed", w->id);
		}
		return;
	}
	if (is_in_cut_zone(w)) {
		if (!w->entry_gone &&
		    now - w->written_at >= 3 * ENTRY_INTERVAL_MS) {
			w->entry_gone = 1;
			put_text("servers", w->id, NULL);
			record("the entry of worker %s is removed", w->id);
		}
	} else if (w->entry_gone || now - w->written_at >= ENTRY_INTERVAL_MS) {
		w->entry_gone = 0;
		write_entry(w);
	}
	if (w->lease_held && clock_of(w) >= w->lease_until) {
		w->lease_held = 0;
		record("worker %s: its lease lapses", w->id);
	}
	for (i = w->nruns; i-- > 0;) {
		struct run *r = &w->runs[i];

		r->done_ms += passed;
		if (clock_of(w) >= w->lease_until)
			end_run(w, i, "lapsed");
		else if (r->done_ms >= r->work_ms)
			end_run(w, i, r->fails ? "failed" : "done");
	}
}

static void renew(struct worker *w, json_t *body)
{
	int64_t until = int_of(body, "untilMs", 0);
	int64_t most = clock_of(w) + LEASE_MAX_MS;

	if (until > most)
		until = most;
	if (until > w->lease_until)
		w->lease_until = until;
	w->lease_held = clock_of(w) < w->lease_until;
}

static void reply_clock(struct conn *c, struct worker *w, int status,
			const char *reason)
{
	json_t *o = json_pack("{s:I,s:I}", "clockMs", (json_int_t)clock_of(w),
			      "born", (json_int_t)w->born);

	if (reason)
		json_object_set_new(o, "reason", json_string(reason));
	send_reply(c, status, o, 1);
}

/*
 * The number of a word of the specification: of the first one for the task with
 * index 0, if it is there, else of the other one.
 */
static double number_of(const char *spec, const char *task, const char *first,
			const char *name, double if_absent)
{
	const char *index = strrchr(task, '.');
	const char *at = NULL;

	if (index && !strcmp(index, ".0"))
		at = strstr(spec, first);
	if (at)
		return atof(at + strlen(first));
	if (!strncmp(spec, name + 1, strlen(name) - 1))
		return atof(spec + strlen(name) - 1);
	at = strstr(spec, name);
	return at ? atof(at + strlen(name)) : if_absent;
}

/* A worker that is up and runs the task; NULL: none. */
static const struct worker *runs_already(const char *task)
{
	int i;
	size_t j;

	for (i = 0; i < nworkers; i++)
		for (j = 0; j < workers[i].nruns; j++)
			if (workers[i].up &&
			    !strcmp(workers[i].runs[j].task, task))
				return &workers[i];
	return NULL;
}

static uint64_t twice;

static void start_run(struct conn *c, struct worker *w, json_t *body)
{
	const char *task = text_of(body, "task");
	const char *spec = text_of(body, "specification");
	int64_t run = int_of(body, "run", 0);
	const struct worker *other;
	struct run *r;
	size_t i;

	if (!*task || run < 1) {
		reply_clock(c, w, 400, NULL);
		return;
	}
	for (i = 0; i < w->nruns; i++)
		if (!strcmp(w->runs[i].task, task) && w->runs[i].run == run) {
			renew(w, body);
			reply_clock(c, w, 200, NULL);
			return;
		}
	for (i = 0; i < w->nstopped; i++)
		if (!strcmp(w->stopped[i].task, task) &&
		    run <= w->stopped[i].run) {
			renew(w, body);
			reply_clock(c, w, 409, "old");
			return;
		}
	if (int_of(body, "untilMs", 0) <= clock_of(w)) {
		reply_clock(c, w, 409, "late");
		return;
	}
	renew(w, body);
	record("worker %s starts %s run %lld token %lld%s", w->id, task,
	       (long long)run, (long long)int_of(body, "fencingToken", 0),
	       c->late ? " (an order carried out late)" : "");
	for (i = 0; i < (size_t)nworkers; i++)
		advance(&workers[i]);
	other = runs_already(task);
	if (other) {
		twice++;
		record("TWICE: %s runs on %s and on %s", task, other->id, w->id);
	}
	if (w->nruns == w->cap_runs) {
		w->cap_runs = w->cap_runs * 2 + 64;
		w->runs = realloc(w->runs, w->cap_runs * sizeof(*w->runs));
	}
	r = &w->runs[w->nruns++];
	memset(r, 0, sizeof(*r));
	snprintf(r->task, sizeof(r->task), "%s", task);
	r->run = run;
	r->work_ms = number_of(spec, task, "first_ms=", " ms=", 100);
	r->fails = number_of(spec, task, "first_fail=", " fail=", 0) > 0 ||
		   rand() % 100 < number_of(spec, task, "first_pfail=",
					    " pfail=", 0);
	reply_clock(c, w, 200, NULL);
}

static void stop_run(struct conn *c, struct worker *w, json_t *body)
{
	const char *task = text_of(body, "task");
	struct run none = { .run = int_of(body, "run", 0) };
	size_t i;

	for (i = 0; i < w->nruns; i++)
		if (!strcmp(w->runs[i].task, task) &&
		    w->runs[i].run == none.run) {
			end_run(w, i, "stopped");
			reply_clock(c, w, 200, NULL);
			return;
		}
	/* A run that is not there yet will be rejected. */
	for (i = 0; i < w->nstopped; i++)
		if (!strcmp(w->stopped[i].task, task))
			break;
	if (i == w->nstopped) {
		if (w->nstopped == w->cap_stopped) {
			w->cap_stopped = w->cap_stopped * 2 + 64;
			w->stopped = realloc(w->stopped,
					     w->cap_stopped *
						     sizeof(*w->stopped));
		}
		snprintf(w->stopped[i].task, sizeof(w->stopped[i].task), "%s",
			 task);
		w->stopped[i].run = 0;
		w->nstopped++;
	}
	if (none.run > w->stopped[i].run)
		w->stopped[i].run = none.run;
	record("worker %s will reject %s up to run %lld", w->id, task,
	       (long long)none.run);
	reply_clock(c, w, 200, NULL);
}

static void hold(struct conn *c, struct worker *w, json_t *body, int first)
{
	int64_t seen = int_of(body, "lastSeen", 0);
	int64_t wait = int_of(body, "waitMs", 0);
	json_t *running, *finished;
	size_t i = 0;

	if (wait > 2000)
		wait = 2000;
	if (first) {
		renew(w, body);
		for (; i < w->nends && w->ends[i].number <= seen; i++)
			record("worker %s: end %lld, %s run %lld %s, is taken "
			       "note of (lastSeen %lld)",
			       w->id, (long long)w->ends[i].number,
			       w->ends[i].task, (long long)w->ends[i].run,
			       w->ends[i].how, (long long)seen);
		w->nends -= i;
		memmove(w->ends, w->ends + i, w->nends * sizeof(*w->ends));
	}
	if (!w->nends && now_ms() - c->since < wait)
		return; /* looked at again */
	running = json_array();
	finished = json_array();
	for (i = 0; i < w->nruns; i++)
		json_array_append_new(
			running,
			json_pack("[s,I,s,i,i]", w->runs[i].task,
				  (json_int_t)w->runs[i].run, "",
				  (int)(100 * w->runs[i].done_ms /
					w->runs[i].work_ms),
				  1000));
	for (i = 0; i < w->nends && i < 500; i++)
		json_array_append_new(
			finished,
			json_pack("[I,s,I,s,s]", (json_int_t)w->ends[i].number,
				  w->ends[i].task, (json_int_t)w->ends[i].run,
				  w->ends[i].how, ""));
	send_reply(c, 200,
		   json_pack("{s:I,s:I,s:o,s:o}", "clockMs",
			     (json_int_t)clock_of(w), "born",
			     (json_int_t)w->born, "running", running,
			     "finished", finished),
		   1 + w->hold_delay);
}

/* Starts that are left unanswered and carried out late: how many, and when. */
static int late_starts;
static int64_t late_ms;
static int late_percent;
static int64_t late_until;

static void reset_conn(struct conn *c);

/*
 * Whether the call crosses the cut. The VM of the zone leads without the store
 * there, so its calls are known by their token, whose lower half is not 0. Only
 * such a VM asks for the health of workers.
 */
static int is_cut_off(const struct conn *c, const struct worker *w)
{
	const char *token = c->body ? strstr(c->body, "\"fencingToken\":")
				    : NULL;
	int inside = !token ||
		     (uint32_t)strtoull(token + 15, NULL, 10) != 0;

	return now_ms() < zone_cut_until && inside != is_in_cut_zone(w);
}

static void handle_worker(struct conn *c, int first)
{
	struct worker *w = &workers[c->port - 1];
	json_t *body;

	if (c->mute || is_cut_off(c, w)) {
		c->mute = 1; /* the call does not arrive, or its answer */
		if (zone_cut_resets)
			reset_conn(c);
		return;
	}

	if (!w->up) {
		if (c->late && w->gone)
			conn_free(c);
		return;
	}
	advance(w);
	if (first && late_starts && !strcmp(c->path, "/api/run-start")) {
		late_starts--;
		c->late = 1;
		record("worker %s leaves a start unanswered for %lld ms: %.90s",
		       w->id, (long long)late_ms, c->body);
		return;
	}
	if (first && now_ms() < late_until && rand() % 100 < late_percent) {
		c->late = 1;
		c->do_at = now_ms() + 2000 + rand() % 6000;
		return;
	}
	if (c->late && now_ms() < (c->do_at ? c->do_at : c->since + late_ms))
		return;
	if (now_ms() < w->grey_until && !strcmp(c->path, "/api/run-start"))
		w->resets = w->grey_starts++ % 5 == 3;
	if ((now_ms() < w->refuses_until ||
	     (now_ms() < w->grey_until && w->grey_starts &&
	      w->grey_starts % 5 == 0)) &&
	    !strcmp(c->path, "/api/run-start")) {
		record("worker %s refuses a start with 503 (start %u of its "
		       "grey time): %.60s",
		       w->id, w->grey_starts, c->body);
		send_reply(c, 503, NULL, 1);
		return;
	}
	if (c->expected[0] && strcmp(c->expected, w->id) != 0) {
		reply_clock(c, w, 421, NULL);
		return;
	}
	body = json_loadb(c->body ? c->body : "", c->body_len, 0, NULL);
	if (int_of(body, "fencingToken", 0) < w->token) {
		reply_clock(c, w, 409, "fence");
	} else {
		w->token = int_of(body, "fencingToken", 0);
		if (!strcmp(c->path, "/api/run-start")) {
			start_run(c, w, body);
			if (w->resets) {
				record("worker %s resets the channel of that "
				       "start without an answer",
				       w->id);
				w->resets = 0;
				reset_conn(c);
			}
		}
		else if (!strcmp(c->path, "/api/run-stop"))
			stop_run(c, w, body);
		else if (!strcmp(c->path, "/api/hold"))
			hold(c, w, body, first);
		else
			send_reply(c, 404, NULL, 0);
	}
	json_decref(body);
}

/* --- operator and control ----------------------------------------------- */

/* The path of a VM to the store is cut: silent, reset, or 503. */
static int64_t path_cut_until[PATHS];
static char path_cut_how[PATHS][16];

static int manifest_version;
static int64_t down_until; /* the store answers 503 */
/* The next write of a job is done, its channel is reset, and the store is down
 * for so long. */
static int64_t outage_ms;

/* Writes that get no answer: a share of all, or the next new jobs. */
static int lost_percent, lost_late;
static int64_t lost_until;
static uint64_t nwrites, nwrites_before; /* calls that write; when it began */
static char lost_part[16]; /* the next writes of jobs there get no answer */
static int lost_part_writes, lost_part_begun;
static int64_t lost_part_ms;
static int late_submits;
static int64_t late_submits_ms, silent_until;

/* Whether the call writes a row of a job that must not exist yet. */
static int is_submission(const struct conn *c)
{
	return !c->port && !strcmp(c->path, "/api/rows-tx") && c->body &&
	       strstr(c->body, "\"rosemary-jobs\"") &&
	       strstr(c->body, "\"recordVersion\":0}") &&
	       !strstr(c->body, "\"key\":\"!\"");
}

/* Whether the call writes jobs of the part. */
static int is_write_of(const struct conn *c, const char *part)
{
	char text[96];

	snprintf(text, sizeof(text), "\"part\":\"%s\"", part);
	return c->body && strstr(c->body, "\"rosemary-jobs\"") &&
	       strstr(c->body, text) && !strstr(c->body, "\"writes\":[]") &&
	       !strstr(c->body, "\"key\":\"!\",\"value\"");
}

/* Handles a write whose answer is lost. Returns 0 if it is not one. */
static int is_lost_write(struct conn *c, int first)
{
	if (c->port || strcmp(c->path, "/api/rows-tx") != 0)
		return 0;
	if (first)
		nwrites++;
	if (c->late) {
		if (now_ms() < c->do_at)
			return 1;
		rows_tx(c);
		record("a write that was left unanswered %lld ms ago: %s",
		       (long long)(now_ms() - c->since),
		       !strncmp(c->reply, "HTTP/1.1 200", 12)
			       ? "the store does it"
			       : "its condition does not hold, nothing is done");
		if (c->closing) /* the client has gone; freed below */
			return 1;
		/* The channel delivers nothing further. */
		free(c->reply);
		c->reply = NULL;
		c->reply_at = 0;
		c->late = 0;
		c->mute = 1;
		return 1;
	}
	if (!first)
		return 0;
	if (late_submits && is_submission(c)) {
		late_submits--;
		c->late = 1;
		c->do_at = now_ms() + late_submits_ms;
		record("the store leaves the write of a new job unanswered");
		return 1;
	}
	if (lost_part[0] && !is_submission(c) && is_write_of(c, lost_part)) {
		c->late = 1;
		c->do_at = now_ms() + lost_part_ms;
		if (!lost_part_begun)
			nwrites_before = nwrites - 1;
		lost_part_begun = 1;
		if (!--lost_part_writes)
			lost_part[0] = '\0';
		record("the store leaves a write of %zu bytes to rosemary-jobs "
		       "unanswered, and looks at its condition %lld ms later "
		       "(write %llu since the first one)",
		       c->body_len, (long long)lost_part_ms,
		       (unsigned long long)(nwrites - nwrites_before));
		return 1;
	}
	if (now_ms() >= lost_until || rand() % 100 >= lost_percent)
		return 0;
	c->late = 1;
	c->do_at = now_ms() + (lost_late ? 1000 + rand() % 5000 : TX_MS);
	return 1;
}

static int starts_outage(const struct conn *c)
{
	return outage_ms && !c->port && !strcmp(c->path, "/api/rows-tx") &&
	       c->body && strstr(c->body, "\"rosemary-jobs\"") &&
	       !strstr(c->body, "\"writes\":[]");
}

/* Closes the channel with a reset. */
static void reset_conn(struct conn *c)
{
	struct linger now = { .l_onoff = 1 };

	setsockopt(c->fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
	conn_free(c);
}

static void write_manifest(int nroutes, int max_attempts)
{
	json_t *list = json_array(), *root;
	char *text;
	int i;

	for (i = 0; i < nroutes; i++) {
		char name[16], prefix[16];

		snprintf(name, sizeof(name), "q%d", i);
		snprintf(prefix, sizeof(prefix), "/q%d/", i);
		json_array_append_new(
			list,
			json_pack("{s:s,s:s,s:s,s:i,s:i,s:i,s:s,s:i,s:f}",
				  "name", name, "host", HOST, "pathPrefix",
				  prefix, "timeoutMs", 30000, "targetLatencyMs",
				  60, "priority", 0, "service", "desk",
				  "maxAttempts", max_attempts, "stretch", 1.6));
	}
	root = json_pack("{s:i,s:o,s:[{s:s,s:b}],s:{s:i}}", "version",
			 manifest_version += 3, "routes", list, "services",
			 "name", "desk", "rejectsOverload", 0, "limits",
			 "maxBodyBytes", 262144);
	text = json_dumps(root, JSON_COMPACT);
	put_text("op", "config", text);
	record("operator: manifest %d with %d routes, %zu bytes",
	       manifest_version, nroutes, strlen(text));
	json_decref(root);
	free(text);
}

static struct worker *worker_of_task(const char *task)
{
	int i;
	size_t j;

	for (i = 0; i < nworkers; i++)
		for (j = 0; j < workers[i].nruns; j++)
			if (!strncmp(workers[i].runs[j].task, task,
				     strlen(task)))
				return &workers[i];
	return NULL;
}

/* How many runs are under way whose task's name begins so. */
static size_t count_runs(const char *task)
{
	size_t n = 0, j;
	int i;

	for (i = 0; i < nworkers; i++)
		for (j = 0; j < workers[i].nruns; j++)
			n += !strncmp(workers[i].runs[j].task, task,
				      strlen(task));
	return n;
}

static void control(struct conn *c)
{
	json_t *o = json_loadb(c->body ? c->body : "", c->body_len, 0, NULL);
	const char *what = c->path + strlen("/control/");
	struct worker *w = NULL;
	json_t *reply = json_object();
	int i;

	for (i = 0; i < nworkers; i++)
		advance(&workers[i]);
	if (json_object_get(o, "task"))
		w = worker_of_task(text_of(o, "task"));
	else if (json_object_get(o, "worker"))
		w = &workers[int_of(o, "worker", 0)];
	if (!strcmp(what, "crash") && w && w->up)
		crash(w, int_of(o, "down_ms", 0));
	else if (!strcmp(what, "holds") && w) {
		w->hold_delay = int_of(o, "ms", 0);
		record("answers of worker %s to holds come %lld ms later than "
		       "others",
		       w->id, (long long)w->hold_delay);
	} else if (!strcmp(what, "grey") && w) {
		w->refuses_until = now_ms() + int_of(o, "ms", 0);
		record("worker %s is unhealthy and refuses starts for %lld ms",
		       w->id, (long long)int_of(o, "ms", 0));
	} else if (!strcmp(what, "resets") && w) {
		w->grey_until = now_ms() + int_of(o, "ms", 0);
		w->grey_starts = 0;
		record("worker %s is grey for %lld ms: of five starts it does "
		       "the fourth and resets its channel, and refuses the "
		       "fifth",
		       w->id, (long long)int_of(o, "ms", 0));
	} else if (!strcmp(what, "late")) {
		late_starts = (int)int_of(o, "starts", 0);
		late_ms = int_of(o, "ms", 0);
	} else if (!strcmp(what, "manifest"))
		write_manifest((int)int_of(o, "routes", 8),
			       (int)int_of(o, "attempts", 3));
	else if (!strcmp(what, "lost")) {
		lost_percent = (int)int_of(o, "percent", 0);
		lost_late = (int)int_of(o, "late", 0);
		lost_until = now_ms() + int_of(o, "ms", 0);
		record("the store leaves %d percent of the writes unanswered",
		       lost_percent);
	} else if (!strcmp(what, "losepart")) {
		snprintf(lost_part, sizeof(lost_part), "%s", text_of(o, "part"));
		lost_part_writes = (int)int_of(o, "n", 1);
		lost_part_ms = int_of(o, "ms", TX_MS);
	} else if (!strcmp(what, "cutpath")) {
		i = (int)int_of(o, "vm", 0) % PATHS;
		path_cut_until[i] = now_ms() + int_of(o, "ms", 0);
		snprintf(path_cut_how[i], sizeof(path_cut_how[i]), "%s",
			 text_of(o, "how"));
		record("the store is %s for VM %d for %lld ms", path_cut_how[i],
		       i, (long long)int_of(o, "ms", 0));
	} else if (!strcmp(what, "cutzone")) {
		snprintf(cut_zone, sizeof(cut_zone), "%s", text_of(o, "zone"));
		zone_cut_until = now_ms() + int_of(o, "ms", 0);
		zone_cut_resets = (int)int_of(o, "resets", 0);
		record("zone %s is cut off for %lld ms", cut_zone,
		       (long long)int_of(o, "ms", 0));
	} else if (!strcmp(what, "silent")) {
		silent_until = now_ms() + int_of(o, "ms", 0);
		record("the store is silent for %lld ms",
		       (long long)int_of(o, "ms", 0));
	} else if (!strcmp(what, "latewrite")) {
		late_submits = (int)int_of(o, "n", 1);
		late_submits_ms = int_of(o, "ms", 0);
	} else if (!strcmp(what, "latepercent")) {
		late_percent = (int)int_of(o, "percent", 0);
		late_until = now_ms() + int_of(o, "ms", 0);
		record("workers leave %d percent of the starts unanswered",
		       late_percent);
	} else if (!strcmp(what, "kind") && w) {
		snprintf(w->kind, sizeof(w->kind), "%s", text_of(o, "kind"));
	} else if (!strcmp(what, "outage")) {
		outage_ms = int_of(o, "ms", 0);
		record("the next write of a job begins an outage of the store");
	} else if (!strcmp(what, "down")) {
		down_until = now_ms() + int_of(o, "ms", 0);
		record("the store is down for %lld ms: 503",
		       (long long)int_of(o, "ms", 0));
	} else if (!strcmp(what, "note"))
		record("%s", text_of(o, "text"));
	json_object_set_new(reply, "worker", json_integer(w ? w->index : -1));
	json_object_set_new(reply, "runs",
			    json_integer((json_int_t)count_runs(
				    text_of(o, "prefix"))));
	json_object_set_new(reply, "twice", json_integer((json_int_t)twice));
	json_object_set_new(reply, "refused_rows",
			    json_integer((json_int_t)refused_rows));
	json_object_set_new(reply, "ms",
			    json_integer(now_ms() - started_at));
	json_decref(o);
	send_reply(c, 200, reply, 0);
}

/* --- server ------------------------------------------------------------- */

static void handle(struct conn *c, int first)
{
	if (c->mute)
		return;
	if (c->via && now_ms() < path_cut_until[c->via - 1]) {
		if (!strcmp(path_cut_how[c->via - 1], "reset"))
			reset_conn(c);
		else if (!strcmp(path_cut_how[c->via - 1], "busy"))
			send_reply(c, 503, NULL, READ_MS);
		else
			c->mute = 1;
		return;
	}
	if (c->port)
		handle_worker(c, first);
	else if (now_ms() < silent_until && strncmp(c->path, "/control/", 9) != 0)
		return;
	else if (now_ms() < down_until && strncmp(c->path, "/control/", 9) != 0)
		send_reply(c, 503, NULL, READ_MS);
	else if (is_lost_write(c, first))
		return;
	else if (starts_outage(c)) {
		rows_tx(c);
		record("the store does a write of %zu bytes to rosemary-jobs "
		       "and resets its channel",
		       c->body_len);
		down_until = now_ms() + outage_ms;
		record("the store is down for %lld ms: 503",
		       (long long)outage_ms);
		outage_ms = 0;
		reset_conn(c);
	}
	else if (!strncmp(c->path, "/control/", 9))
		control(c);
	else if (!strcmp(c->path, "/api/rows-get"))
		rows_get(c);
	else if (!strcmp(c->path, "/api/rows-feed"))
		rows_feed(c);
	else if (!strcmp(c->path, "/api/rows-tx"))
		rows_tx(c);
	else
		send_reply(c, 404, NULL, 0);
}

/* Takes the next request from what was read. Returns 0 if there is none. */
static int parse_request(struct conn *c)
{
	char *end, *line, *target, *mark;
	size_t head, len = 0;

	if (c->pending || !c->nin)
		return 0;
	c->in[c->nin] = '\0';
	end = strstr(c->in, "\r\n\r\n");
	if (!end)
		return 0;
	head = (size_t)(end - c->in) + 4;
	c->expected[0] = '\0';
	for (line = strstr(c->in, "\r\n"); line && line < end;
	     line = strstr(line + 2, "\r\n")) {
		static const char expected[] =
			"X-Rosemarypoint-Expected-Instance:";

		if (!strncasecmp(line + 2, "Content-Length:", 15))
			len = strtoul(line + 17, NULL, 10);
		if (!strncasecmp(line + 2, expected, sizeof(expected) - 1))
			sscanf(line + 2 + sizeof(expected) - 1, " %127[^\r\n]",
			       c->expected);
	}
	if (c->nin < head + len)
		return 0;
	target = malloc(2048);
	if (sscanf(c->in, "%7s %2047s", c->method, target) != 2) {
		free(target);
		return 0;
	}
	mark = strchr(target, '?');
	free(c->query);
	c->query = strdup(mark ? mark + 1 : "");
	if (mark)
		*mark = '\0';
	snprintf(c->path, sizeof(c->path), "%.500s", target);
	free(target);
	free(c->body);
	c->body = malloc(len + 1);
	memcpy(c->body, c->in + head, len);
	c->body[len] = '\0';
	c->body_len = len;
	c->nin -= head + len;
	memmove(c->in, c->in + head + len, c->nin);
	c->pending = 1;
	c->since = now_ms();
	return 1;
}

/* Returns -1 when the connection is over. */
static int read_conn(struct conn *c)
{
	for (;;) {
		ssize_t n;

		if (c->nin + 65536 + 1 > c->cap) {
			c->cap = c->cap * 2 + 65536 + 1;
			c->in = realloc(c->in, c->cap);
		}
		n = read(c->fd, c->in + c->nin, 65536);
		if (n > 0) {
			c->nin += (size_t)n;
			continue;
		}
		if (n < 0 && (errno == EAGAIN || errno == EINTR))
			return 0;
		/* An order that is carried out late outlives its channel. */
		if (c->late) {
			c->closing = 1;
			return 0;
		}
		return -1;
	}
}

/* Returns -1 when the connection is over. */
static int write_conn(struct conn *c)
{
	while (c->sent < c->nout) {
		ssize_t n = send(c->fd, c->out + c->sent, c->nout - c->sent,
				 MSG_NOSIGNAL);

		if (n < 0)
			return errno == EAGAIN || errno == EINTR ? 0 : -1;
		c->sent += (size_t)n;
	}
	free(c->out);
	c->out = NULL;
	c->nout = c->sent = 0;
	return 0;
}

/* Sends answers that are ready; looks at waiting requests again. */
static void tick_conn(struct conn *c)
{
	struct conn *k;

	if (parse_request(c))
		handle(c, 1);
	else if (c->pending && !c->reply_at)
		handle(c, 0);
	for (k = conns; k && k != c;)
		k = k->next;
	if (!k || !c->pending || !c->reply_at || now_ms() < c->reply_at)
		return;
	if (c->late) { /* nobody waits for this answer */
		conn_free(c);
		return;
	}
	c->out = c->reply;
	c->nout = c->reply_len;
	c->sent = 0;
	c->reply = NULL;
	c->reply_at = 0;
	c->pending = 0;
	if (write_conn(c) < 0)
		conn_free(c);
}

static void accept_all(int port)
{
	for (;;) {
		int fd = accept4(listeners[port], NULL, NULL,
				 SOCK_NONBLOCK | SOCK_CLOEXEC);
		struct conn *c;
		int on = 1;

		if (fd < 0)
			return;
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		c = calloc(1, sizeof(*c));
		c->fd = fd;
		c->port = port <= WORKERS_MAX ? port : 0;
		c->via = port <= WORKERS_MAX ? 0 : port - WORKERS_MAX;
		c->next = conns;
		conns = c;
	}
}

static void serve(void)
{
	static struct pollfd fds[16384];
	static struct conn *of[16384];
	int64_t ticked_at = 0;

	for (;;) {
		struct conn *c, *next;
		nfds_t n = 0, i;
		int p;

		for (p = 0; p < PORTS; p++)
			if (listeners[p] >= 0) {
				fds[n] = (struct pollfd){ .fd = listeners[p],
							  .events = POLLIN };
				of[n++] = (struct conn *)&listeners[p];
			}
		for (c = conns; c && n < 16384; c = c->next) {
			if (c->closing)
				continue;
			fds[n] = (struct pollfd){
				.fd = c->fd,
				.events = (short)(POLLIN |
						  (c->nout ? POLLOUT : 0))
			};
			of[n++] = c;
		}
		poll(fds, n, 1);
		for (i = 0; i < n; i++) {
			int is_listener = (int *)of[i] >= listeners &&
					  (int *)of[i] < listeners + PORTS;

			if (!fds[i].revents)
				continue;
			if (is_listener) {
				accept_all((int)((int *)of[i] - listeners));
				continue;
			}
			for (c = conns; c && c != of[i];)
				c = c->next;
			if (!c || c->fd != fds[i].fd)
				continue;
			if ((fds[i].revents & POLLOUT) && write_conn(c) < 0) {
				conn_free(c);
				continue;
			}
			if ((fds[i].revents & (POLLIN | POLLHUP | POLLERR)) &&
			    read_conn(c) < 0) {
				conn_free(c);
				continue;
			}
			tick_conn(c);
		}
		if (now_ms() == ticked_at)
			continue;
		ticked_at = now_ms();
		for (p = 0; p < nworkers; p++)
			advance(&workers[p]);
		for (c = conns; c; c = next) {
			next = c->next;
			if (c->pending)
				tick_conn(c);
		}
	}
}

static int run_platform(char **argv)
{
	int i;

	first_port = atoi(argv[0]);
	nworkers = atoi(argv[1]);
	record_file = fopen(argv[2], "a");
	started_at = now_ms();
	signal(SIGPIPE, SIG_IGN);
	if (!record_file || nworkers < 1 || nworkers > WORKERS_MAX)
		return 2;
	if (getenv("RIG_CPU"))
		capacity_cpu = atoll(getenv("RIG_CPU"));
	for (i = 0; i < PORTS; i++)
		listeners[i] = -1;
	listeners[0] = open_listener(first_port);
	for (i = 0; i < PATHS; i++)
		listeners[WORKERS_MAX + 1 + i] =
			open_listener(first_port + PATH_PORT + i);
	if (listeners[0] < 0)
		return 2;
	write_manifest(8, 3);
	for (i = 0; i < nworkers; i++) {
		struct worker *w = &workers[i];

		w->index = i;
		snprintf(w->id, sizeof(w->id), "i-%08x", 0x5e110000u + (unsigned)i);
		snprintf(w->zone, sizeof(w->zone), "z%d", i % 3);
		/* The last worker is of another kind. */
		snprintf(w->kind, sizeof(w->kind), "%s",
			 i + 1 < nworkers ? "a" : "b");
		snprintf(w->rack, sizeof(w->rack), "r%d-1", i % 3);
		boot(w);
	}
	serve();
	return 0;
}

/* --- ports and client --------------------------------------------------- */

static int print_ports(void)
{
	int base = 10200 + (int)(getpid() % 90) * 200, tries;

	for (tries = 0; tries < 90; tries++, base += 200) {
		int fds[200], i, ok = 1;

		if (base > 28000)
			base = 10200;
		for (i = 0; i < 200; i++)
			ok &= (fds[i] = open_listener(base + i)) >= 0;
		for (i = 0; i < 200; i++)
			if (fds[i] >= 0)
				close(fds[i]);
		if (ok) {
			printf("%d\n", base);
			return 0;
		}
	}
	return 1;
}

/*
 * Ids whose rows are in part 3 of the table, found by trying: the project
 * spreads jobs over parts by their ids.
 */
static int print_ids(int n)
{
	static const char *const ids[] = {
		"5c0e7a21d94b000b",
		"5c0e7a21d94b001b",
		"5c0e7a21d94b001d",
		"5c0e7a21d94b0020",
		"5c0e7a21d94b0025",
		"5c0e7a21d94b0027",
		"5c0e7a21d94b002c",
		"5c0e7a21d94b0031",
		"5c0e7a21d94b0039",
		"5c0e7a21d94b003c",
		"5c0e7a21d94b0044",
		"5c0e7a21d94b004e",
	};

	while (n-- > 0)
		printf("%s\n", ids[n]);
	return 0;
}

static int dial(const char *address)
{
	struct sockaddr_in sa = { .sin_family = AF_INET };
	char host[64];
	const char *colon = strchr(address, ':');
	int fd;

	if (!colon)
		return -1;
	snprintf(host, sizeof(host), "%.*s", (int)(colon - address), address);
	inet_pton(AF_INET, host, &sa.sin_addr);
	sa.sin_port = htons((uint16_t)atoi(colon + 1));
	fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (connect(fd, (struct sockaddr *)&sa, sizeof(sa)) < 0) {
		close(fd);
		return -1;
	}
	return fd;
}

/* Makes one call. Prints "STATUS BODY"; "000" if there was no answer. */
static int run_call(int argc, char **argv)
{
	char *text = NULL, buf[1 << 16];
	int64_t deadline = 30000, wait = 0, until;
	size_t n = 0;
	const char *body;
	char *end;
	int fd = -1, i = 0, len;

	while (i + 1 < argc && argv[i][0] == '-') {
		if (argv[i][1] == 'd')
			deadline = atoll(argv[i + 1]);
		else
			wait = atoll(argv[i + 1]);
		i += 2;
	}
	if (argc - i < 3)
		return 2;
	body = argc - i > 3 ? argv[i + 3] : "";
	until = now_ms() + wait;
	while ((fd = dial(argv[i + 1])) < 0 && now_ms() < until)
		usleep(20000);
	if (fd < 0) {
		printf("000\n");
		return 1;
	}
	len = asprintf(&text,
		       "%s %s HTTP/1.1\r\nHost: %s\r\n"
		       "X-Rosemarypoint-Deadline: %lld\r\n"
		       "Content-Type: application/json\r\n"
		       "Content-Length: %zu\r\n\r\n%s",
		       argv[i], argv[i + 2], HOST, (long long)deadline,
		       strlen(body), body);
	if (send(fd, text, (size_t)len, MSG_NOSIGNAL) != len) {
		printf("000\n");
		return 1;
	}
	until = now_ms() + deadline + 1000;
	for (;;) {
		struct pollfd p = { .fd = fd, .events = POLLIN };
		ssize_t got;
		char *length;

		if (now_ms() >= until ||
		    poll(&p, 1, (int)(until - now_ms())) <= 0)
			break;
		got = read(fd, buf + n, sizeof(buf) - 1 - n);
		if (got <= 0)
			break;
		n += (size_t)got;
		buf[n] = '\0';
		end = strstr(buf, "\r\n\r\n");
		length = strcasestr(buf, "Content-Length:");
		if (end && length &&
		    n >= (size_t)(end - buf) + 4 +
				    strtoul(length + 15, NULL, 10)) {
			printf("%.3s %s\n", buf + 9, end + 4);
			return buf[9] == '2' ? 0 : 1;
		}
	}
	printf("000\n");
	return 1;
}

/* --- proxy of links ------------------------------------------------------- */

struct pipe {
	int in, out; /* of the side that has dialled, and of the other */
	char name[32]; /* the VM that has dialled, as its first frame says */
	int over;
	int dead; /* it delivers nothing any more, without a reset */
};

static int copy_some(int from, int to)
{
	char buf[65536];
	ssize_t n = read(from, buf, sizeof(buf)), done = 0;

	if (n <= 0)
		return -1;
	while (done < n) {
		ssize_t k = send(to, buf + done, (size_t)(n - done),
				 MSG_NOSIGNAL);

		if (k < 0)
			return -1;
		done += k;
	}
	return 0;
}

static void learn_name(struct pipe *p)
{
	char buf[512];
	ssize_t n = recv(p->in, buf, sizeof(buf) - 1, MSG_PEEK | MSG_DONTWAIT);
	char *at = n > 0 ? memmem(buf, (size_t)n, "front-z", 7) : NULL;

	if (at && at + 8 <= buf + n)
		snprintf(p->name, sizeof(p->name), "%.8s", at);
}

/*
 * rig proxy PORT TARGET VM FILE: passes links to the VM on. While the file is
 * there, nothing passes between the VM that it names and the others, and with
 * the word "reset" after the name their links are reset. With the word "silent",
 * the links that are open then go silent for good, and new ones work.
 */
static int run_proxy(char **argv)
{
	static struct pipe pipes[512];
	static struct pollfd fds[1025];
	int l = open_listener(atoi(argv[0])), n = 0, i, silenced = 0;

	signal(SIGPIPE, SIG_IGN);
	if (l < 0)
		return 2;
	for (;;) {
		char cut[32] = "", how[16] = "";
		int silence;
		FILE *f = fopen(argv[3], "r");

		if (f) {
			if (fscanf(f, "%31s %15s", cut, how) < 1)
				cut[0] = '\0';
			fclose(f);
		}
		silence = !strcmp(how, "silent") && !silenced;
		silenced = !strcmp(how, "silent");
		fds[0] = (struct pollfd){ .fd = l, .events = POLLIN };
		for (i = 0; i < n; i++) {
			struct pipe *p = &pipes[i];
			int held;

			if (!p->name[0])
				learn_name(p);
			held = cut[0] && (!strcmp(cut, argv[2]) ||
					  !p->name[0] || !strcmp(cut, p->name));
			p->dead |= held && silence;
			if (silenced)
				held = 0;
			held |= p->dead;
			if (held && p->name[0] && !strcmp(how, "reset"))
				p->over = 1;
			fds[1 + 2 * i] = (struct pollfd){
				.fd = held ? -1 : p->in, .events = POLLIN
			};
			fds[2 + 2 * i] = (struct pollfd){
				.fd = held ? -1 : p->out, .events = POLLIN
			};
		}
		poll(fds, (nfds_t)(1 + 2 * n), 2);
		for (i = 0; i < n; i++) {
			struct pipe *p = &pipes[i];

			if (fds[1 + 2 * i].fd >= 0 && fds[1 + 2 * i].revents &&
			    copy_some(p->in, p->out) < 0)
				p->over = 1;
			if (!p->over && fds[2 + 2 * i].fd >= 0 &&
			    fds[2 + 2 * i].revents &&
			    copy_some(p->out, p->in) < 0)
				p->over = 1;
		}
		for (i = n; i-- > 0;) {
			if (!pipes[i].over)
				continue;
			close(pipes[i].in);
			close(pipes[i].out);
			pipes[i] = pipes[--n];
		}
		if (fds[0].revents && n < 512) {
			struct pipe p = { .in = accept4(l, NULL, NULL,
							SOCK_CLOEXEC) };
			int on = 1;

			p.out = p.in < 0 ? -1 : dial(argv[1]);
			if (p.out < 0) {
				if (p.in >= 0)
					close(p.in);
				continue;
			}
			setsockopt(p.in, IPPROTO_TCP, TCP_NODELAY, &on,
				   sizeof(on));
			setsockopt(p.out, IPPROTO_TCP, TCP_NODELAY, &on,
				   sizeof(on));
			pipes[n++] = p;
		}
	}
}

int main(int argc, char **argv)
{
	if (argc == 2 && !strcmp(argv[1], "ports"))
		return print_ports();
	if (argc == 3 && !strcmp(argv[1], "ids") && atoi(argv[2]) <= 12)
		return print_ids(atoi(argv[2]));
	if (argc == 6 && !strcmp(argv[1], "proxy"))
		return run_proxy(argv + 2);
	if (argc == 5 && !strcmp(argv[1], "platform"))
		return run_platform(argv + 2);
	if (argc > 4 && !strcmp(argv[1], "call"))
		return run_call(argc - 2, argv + 2);
	fprintf(stderr, "usage: rig ports | platform PORT WORKERS RECORD | "
			"call [-d MS] [-w MS] METHOD IP:PORT PATH [BODY]\n");
	return 2;
}
