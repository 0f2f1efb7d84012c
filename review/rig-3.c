/*
 * Stand-ins for the cases 11 to 15 of the review: the platform's store, one
 * worker, and a client that makes one call. Each runs as a process of its own,
 * so that a script can kill, stop and restart it. They follow PROTOCOL.md, and
 * where that is silent they behave like a sound store, worker or client.
 *
 *   rig-3 store PORT RECORD MANIFEST       the store; MANIFEST is a file
 *   rig-3 worker PORT RECORD STORE ID ZONE [SPEED [CPU]]
 *   rig-3 call METHOD IP:PORT PATH HOST DEADLINE_MS [BODY]
 *   rig-3 put STORE KEY FILE               the operator writes op/KEY
 *   rig-3 now                              ms of the clock of all records
 *   rig-3 free N                           the first of N free ports
 *
 * The specification of a task begins with its work in ms at speed 1. A line of
 * the record is "MS WHO WHAT ...", MS by the steady clock.
 */

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <jansson.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define CONNS 512
#define ENTRY_INTERVAL_MS 1500
#define LEASE_MS 1000 /* maxHoldMs */
#define ROW_BYTES 65536
#define TX_MS 8	  /* transactionMs */
#define READ_MS 4 /* an answer of the store */

static int record_fd = -1;
static char who[64] = "rig";

static long long now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (long long)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

static void record(const char *fmt, ...)
{
	char line[1024];
	va_list args;
	int n, m;

	if (record_fd < 0)
		return;
	n = snprintf(line, sizeof(line), "%lld %s ", now_ms(), who);
	va_start(args, fmt);
	m = vsnprintf(line + n, sizeof(line) - (size_t)n - 1, fmt, args);
	va_end(args);
	n = n + m < (int)sizeof(line) - 2 ? n + m : (int)sizeof(line) - 2;
	line[n++] = '\n';
	if (write(record_fd, line, (size_t)n) < 0)
		perror("record");
}

/* --- HTTP ---------------------------------------------------------------- */

struct conn {
	int fd; /* -1: free */
	char *in;
	size_t len, cap;
	int busy; /* a request waits for its answer */
	char method[8], path[1024], instance[128], from_worker;
	char *body;
	long long since; /* when the request was complete */
	int renewed;	 /* a hold that waits has renewed the lease */
	int closed;	 /* by the peer */
	long long due;	 /* when a reply that is ready is sent */
	char *reply;
	int reply_status;
	/* A write that is made without an answer, at that time. */
	long long apply_at;
};

static struct conn conns[CONNS];

static int slow = 1; /* factor on the delays of answers */

static const char *reason_of(int status)
{
	return status == 200 ? "OK" : "Status";
}

static void close_conn(struct conn *c)
{
	close(c->fd);
	free(c->in);
	free(c->body);
	free(c->reply);
	memset(c, 0, sizeof(*c));
	c->fd = -1;
}

static void write_all(int fd, const char *data, size_t n)
{
	while (n) {
		ssize_t m = send(fd, data, n, MSG_NOSIGNAL);
		struct pollfd p = { .fd = fd, .events = POLLOUT };

		if (m < 0 && errno != EAGAIN && errno != EINTR)
			return;
		if (m < 0 && poll(&p, 1, 1000) <= 0)
			return;
		if (m > 0) {
			data += m;
			n -= (size_t)m;
		}
	}
}

static void send_reply(struct conn *c)
{
	char head[256];
	int n = snprintf(head, sizeof(head),
			 "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n"
			 "Content-Length: %zu\r\n\r\n",
			 c->reply_status, reason_of(c->reply_status),
			 strlen(c->reply));

	write_all(c->fd, head, (size_t)n);
	write_all(c->fd, c->reply, strlen(c->reply));
	free(c->reply);
	free(c->body);
	c->reply = c->body = NULL;
	c->busy = 0;
}

/* Takes the value. It is sent when delay ms have passed. */
static void reply_json(struct conn *c, int status, json_t *value, int delay)
{
	c->reply = json_dumps(value, JSON_COMPACT);
	c->reply_status = status;
	c->due = now_ms() + delay * slow;
	json_decref(value);
}

static void get_header(const char *head, const char *name, char *to,
		       size_t size)
{
	const char *at = head;
	size_t n = strlen(name), i = 0;

	*to = '\0';
	while ((at = strstr(at, "\r\n"))) {
		at += 2;
		if (strncasecmp(at, name, n) != 0 || at[n] != ':')
			continue;
		at += n + 1;
		while (*at == ' ')
			at++;
		while (at[i] && at[i] != '\r' && i + 1 < size) {
			to[i] = at[i];
			i++;
		}
		to[i] = '\0';
		return;
	}
}

/* Takes a complete request from the input. Returns whether there is one. */
static int take_request(struct conn *c)
{
	char *end, length[32], flag[8];
	size_t head, body;

	if (c->busy || !c->len)
		return 0;
	c->in[c->len] = '\0';
	end = strstr(c->in, "\r\n\r\n");
	if (!end)
		return 0;
	head = (size_t)(end - c->in) + 4;
	end[2] = '\0';
	get_header(c->in, "Content-Length", length, sizeof(length));
	body = strtoul(length, NULL, 10);
	if (c->len < head + body) {
		end[2] = '\r';
		return 0;
	}
	if (sscanf(c->in, "%7s %1023s", c->method, c->path) != 2)
		return 0;
	get_header(c->in, "X-Rosemarypoint-Expected-Instance", c->instance,
		   sizeof(c->instance));
	get_header(c->in, "X-Rig-Worker", flag, sizeof(flag));
	c->from_worker = flag[0];
	free(c->body);
	c->body = malloc(body + 1);
	memcpy(c->body, c->in + head, body);
	c->body[body] = '\0';
	c->len -= head + body;
	memmove(c->in, c->in + head + body, c->len);
	c->busy = 1;
	c->since = now_ms();
	c->apply_at = 0;
	c->renewed = 0;
	return 1;
}

static int listen_on(int port)
{
	struct sockaddr_in sa = { .sin_family = AF_INET,
				  .sin_port = htons((uint16_t)port) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;

	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&sa, sizeof(sa)) < 0 ||
	    listen(fd, 128) < 0) {
		perror("listen");
		exit(2);
	}
	fcntl(fd, F_SETFL, O_NONBLOCK);
	return fd;
}

static void accept_conn(int listener)
{
	int fd = accept(listener, NULL, NULL), on = 1, i;

	if (fd < 0)
		return;
	fcntl(fd, F_SETFL, O_NONBLOCK);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	for (i = 0; i < CONNS && conns[i].fd >= 0; i++)
		;
	if (i == CONNS) {
		close(fd);
		return;
	}
	memset(&conns[i], 0, sizeof(conns[i]));
	conns[i].fd = fd;
}

static void read_conn(struct conn *c)
{
	ssize_t n;

	if (c->cap - c->len < 65536) {
		c->cap = c->cap * 2 + 131072;
		c->in = realloc(c->in, c->cap + 1);
	}
	n = recv(c->fd, c->in + c->len, c->cap - c->len, 0);
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n > 0)
		c->len += (size_t)n;
	else if (c->busy && c->apply_at > 1)
		c->closed = 1; /* what it has ordered is still carried out */
	else
		close_conn(c);
}

/* handle() replies now or is called again; tick() is called all the time. */
static void serve(int port, void (*handle)(struct conn *), void (*tick)(void))
{
	struct pollfd fds[CONNS + 1];
	int listener = listen_on(port), i;

	signal(SIGPIPE, SIG_IGN);
	for (i = 0; i < CONNS; i++)
		conns[i].fd = -1;
	for (;;) {
		fds[CONNS] = (struct pollfd){ .fd = listener,
					      .events = POLLIN };
		for (i = 0; i < CONNS; i++)
			fds[i] = (struct pollfd){
				.fd = conns[i].closed ? -1 : conns[i].fd,
				.events = POLLIN
			};
		poll(fds, CONNS + 1, 2);
		for (i = 0; i < CONNS; i++)
			if (conns[i].fd >= 0 && fds[i].revents)
				read_conn(&conns[i]);
		if (fds[CONNS].revents)
			accept_conn(listener);
		tick();
		for (i = 0; i < CONNS; i++) {
			struct conn *c = &conns[i];

			if (c->fd < 0)
				continue;
			take_request(c);
			if (c->busy && !c->reply)
				handle(c);
			if (c->reply && now_ms() >= c->due)
				send_reply(c);
			if (c->closed && c->apply_at < 0)
				close_conn(c);
		}
	}
}

/* A call that waits for its answer. Returns the status, or 0. */
static int call(const char *method, const char *address, const char *path,
		const char *headers, const char *body, int wait_ms, char *answer,
		size_t size)
{
	char request[4096], ip[64], buf[262144];
	const char *colon = strrchr(address, ':');
	struct sockaddr_in sa = { .sin_family = AF_INET };
	long long until = now_ms() + wait_ms;
	size_t n, len = 0;
	int fd, status = 0;

	*answer = '\0';
	if (!colon)
		return 0;
	snprintf(ip, sizeof(ip), "%.*s", (int)(colon - address), address);
	inet_pton(AF_INET, ip, &sa.sin_addr);
	sa.sin_port = htons((uint16_t)atoi(colon + 1));
	fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (connect(fd, (struct sockaddr *)&sa, sizeof(sa)) < 0) {
		close(fd);
		return 0;
	}
	n = (size_t)snprintf(request, sizeof(request),
			     "%s %s HTTP/1.1\r\n%sContent-Type: "
			     "application/json\r\nContent-Length: %zu\r\n\r\n",
			     method, path, headers, strlen(body));
	write_all(fd, request, n);
	write_all(fd, body, strlen(body));
	fcntl(fd, F_SETFL, O_NONBLOCK);
	while (now_ms() < until && len < sizeof(buf) - 1) {
		struct pollfd p = { .fd = fd, .events = POLLIN };
		char *end, length[32];
		ssize_t m;

		poll(&p, 1, 20);
		m = recv(fd, buf + len, sizeof(buf) - 1 - len, 0);
		if (m < 0 && (errno == EAGAIN || errno == EINTR))
			continue;
		if (m <= 0)
			break;
		len += (size_t)m;
		buf[len] = '\0';
		end = strstr(buf, "\r\n\r\n");
		if (!end)
			continue;
		get_header(buf, "Content-Length", length, sizeof(length));
		if (strlen(end + 4) < strtoul(length, NULL, 10))
			continue;
		sscanf(buf, "HTTP/1.1 %d", &status);
		snprintf(answer, size, "%s", end + 4);
		break;
	}
	close(fd);
	return status;
}

/* --- the store ----------------------------------------------------------- */

struct row {
	char table[201], part[201], key[201];
	char *value; /* base64; NULL: removed */
	long long version, written_at;
};

static struct row *rows;
static size_t nrows;
static long long version;

/* Of writes to this table, the next ones are made late and not answered. */
static char lose_table[201];
static int lose_left, lose_ms;
/* No answer, or 503, is given until then. */
static long long silent_until, busy_until;

static struct row *find_row(const char *table, const char *part,
			    const char *key)
{
	size_t i;

	for (i = 0; i < nrows; i++)
		if (!strcmp(rows[i].table, table) &&
		    !strcmp(rows[i].part, part) && !strcmp(rows[i].key, key))
			return &rows[i];
	return NULL;
}

static void put_row(const char *table, const char *part, const char *key,
		    const char *value)
{
	struct row *r = find_row(table, part, key);

	if (!r) {
		rows = realloc(rows, (nrows + 1) * sizeof(*rows));
		r = &rows[nrows++];
		memset(r, 0, sizeof(*r));
		snprintf(r->table, sizeof(r->table), "%s", table);
		snprintf(r->part, sizeof(r->part), "%s", part);
		snprintf(r->key, sizeof(r->key), "%s", key);
	}
	free(r->value);
	r->value = value ? strdup(value) : NULL;
	r->version = version;
	r->written_at = now_ms();
}

static char *base64(const char *data, size_t n)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				     "abcdefghijklmnopqrstuvwxyz0123456789+/";
	char *out = malloc(n * 4 / 3 + 8), *to = out;
	size_t i;

	for (i = 0; i < n; i += 3) {
		unsigned v = (unsigned char)data[i] << 16;

		if (i + 1 < n)
			v |= (unsigned)(unsigned char)data[i + 1] << 8;
		if (i + 2 < n)
			v |= (unsigned char)data[i + 2];
		*to++ = digits[v >> 18 & 63];
		*to++ = digits[v >> 12 & 63];
		*to++ = i + 1 < n ? digits[v >> 6 & 63] : '=';
		*to++ = i + 2 < n ? digits[v & 63] : '=';
	}
	*to = '\0';
	return out;
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
		       int delay)
{
	reply_json(c, status,
		   json_pack("{s:o,s:b,s:I,s:I}", "rows", list, "hasMore", more,
			     "recordVersion", (json_int_t)version, "nowMs",
			     (json_int_t)now_ms()),
		   delay);
}

/* The argument of the query, or "". */
static void query_arg(const char *path, const char *name, char *to, size_t size)
{
	const char *at = strchr(path, '?');
	size_t n = strlen(name), i = 0;

	*to = '\0';
	while (at) {
		at++;
		if (!strncmp(at, name, n) && at[n] == '=') {
			for (at += n + 1; *at && *at != '&' && i + 1 < size;
			     at++) {
				unsigned code;

				if (*at == '%' &&
				    sscanf(at + 1, "%2x", &code) == 1) {
					to[i++] = (char)code;
					at += 2;
				} else {
					to[i++] = *at;
				}
			}
			to[i] = '\0';
			return;
		}
		at = strchr(at, '&');
	}
}

static int by_key(const void *a, const void *b)
{
	return strcmp((*(struct row *const *)a)->key,
		      (*(struct row *const *)b)->key);
}

static int by_version(const void *a, const void *b)
{
	long long x = (*(struct row *const *)a)->version;
	long long y = (*(struct row *const *)b)->version;

	return x < y ? -1 : x > y;
}

static void rows_get(struct conn *c)
{
	char table[201], part[201], from[201], limit[16];
	struct row **found = calloc(nrows + 1, sizeof(*found));
	json_t *list = json_array();
	size_t i, n = 0, most;

	query_arg(c->path, "table", table, sizeof(table));
	query_arg(c->path, "part", part, sizeof(part));
	query_arg(c->path, "from", from, sizeof(from));
	query_arg(c->path, "limit", limit, sizeof(limit));
	most = limit[0] ? strtoul(limit, NULL, 10) : 500;
	for (i = 0; i < nrows; i++)
		if (rows[i].value && !strcmp(rows[i].table, table) &&
		    !strcmp(rows[i].part, part) &&
		    strcmp(rows[i].key, from) >= 0)
			found[n++] = &rows[i];
	qsort(found, n, sizeof(*found), by_key);
	for (i = 0; i < n && i < most && i < 500; i++)
		json_array_append_new(list, row_json(found[i]));
	free(found);
	reply_rows(c, 200, list, i < n, READ_MS);
}

static void rows_feed(struct conn *c)
{
	char table[201], after[32], wait[32];
	struct row **found = calloc(nrows + 1, sizeof(*found));
	json_t *list;
	size_t i, n = 0;

	query_arg(c->path, "table", table, sizeof(table));
	query_arg(c->path, "after", after, sizeof(after));
	query_arg(c->path, "waitMs", wait, sizeof(wait));
	for (i = 0; i < nrows; i++)
		if (!strcmp(rows[i].table, table) &&
		    rows[i].version > atoll(after))
			found[n++] = &rows[i];
	if (n || now_ms() - c->since >= atoll(wait)) {
		list = json_array();
		qsort(found, n, sizeof(*found), by_version);
		for (i = 0; i < n; i++)
			json_array_append_new(list, row_json(found[i]));
		reply_rows(c, 200, list, 0, READ_MS);
	}
	free(found);
}

static const char *text_of(json_t *o, const char *name)
{
	const char *s = json_string_value(json_object_get(o, name));

	return s ? s : "";
}

/* Applies the transaction if its conditions hold. Returns whether they do. */
static int apply_tx(json_t *root, json_t *current)
{
	json_t *o;
	size_t i;
	int hold = 1;

	json_array_foreach(json_object_get(root, "expectedRevision"), i, o)
	{
		struct row *r = find_row(text_of(o, "table"), text_of(o, "part"),
					 text_of(o, "key"));
		long long has = r && r->value ? r->version : 0;

		if (json_integer_value(json_object_get(o, "recordVersion")) !=
		    has)
			hold = 0;
		if (has)
			json_array_append_new(current, row_json(r));
	}
	if (!hold)
		return 0;
	version++;
	json_array_foreach(json_object_get(root, "writes"), i, o)
		put_row(text_of(o, "table"), text_of(o, "part"),
			text_of(o, "key"), text_of(o, "value"));
	json_array_foreach(json_object_get(root, "remove"), i, o)
		put_row(text_of(o, "table"), text_of(o, "part"),
			text_of(o, "key"), NULL);
	return 1;
}

/* Whether a write of the transaction is to the table. */
static int writes_to(json_t *root, const char *table)
{
	json_t *o;
	size_t i;

	json_array_foreach(json_object_get(root, "writes"), i, o)
		if (!strcmp(text_of(o, "table"), table))
			return 1;
	return 0;
}

static int is_refused(json_t *root)
{
	return json_array_size(json_object_get(root, "writes")) +
		       json_array_size(json_object_get(root, "remove")) +
		       json_array_size(
			       json_object_get(root, "expectedRevision")) >
	       100;
}

static void log_writes(json_t *root, const char *how)
{
	json_t *o;
	size_t i;

	json_array_foreach(json_object_get(root, "writes"), i, o)
		if (!strncmp(text_of(o, "table"), "rosemary-jobs", 13) &&
		    strcmp(text_of(o, "key"), "!") != 0)
			record("row %s %s", text_of(o, "key"), how);
}

static void rows_tx(struct conn *c)
{
	json_t *root = json_loads(c->body, 0, NULL), *current;

	if (!root || is_refused(root)) {
		reply_json(c, 400, json_pack("{s:s}", "error", "malformed"), 0);
		json_decref(root);
		return;
	}
	if (!c->from_worker &&
	    (writes_to(root, "op") || writes_to(root, "servers"))) {
		reply_json(c, 403, json_object(), 0);
		json_decref(root);
		return;
	}
	if (!c->apply_at && lose_left > 0 && writes_to(root, lose_table)) {
		lose_left--;
		c->apply_at = now_ms() + lose_ms;
		log_writes(root, "is left unanswered");
	}
	current = json_array();
	if (!c->apply_at) {
		if (apply_tx(root, current)) {
			log_writes(root, "written");
			reply_rows(c, 200, json_array(), 0, TX_MS);
			json_decref(current);
		} else {
			log_writes(root, "conflicts");
			reply_rows(c, 412, current, 0, TX_MS);
		}
	} else {
		/* The channel delivers nothing further. */
		json_decref(current);
	}
	json_decref(root);
}

/* Writes that were left unanswered, and are made later. */
struct late {
	json_t *root;
	long long at;
};

static struct late lates[64];

static void keep_late(struct conn *c)
{
	int i;

	for (i = 0; i < 64 && lates[i].root; i++)
		;
	if (i < 64) {
		lates[i].root = json_loads(c->body, 0, NULL);
		lates[i].at = c->apply_at;
	}
	free(c->body);
	c->body = NULL;
	/* Busy for good: no later answer comes over this channel. */
	c->apply_at = -1;
}

static void expire_entries(void)
{
	size_t i;

	for (i = 0; i < nrows; i++)
		if (rows[i].value && !strcmp(rows[i].table, "servers") &&
		    now_ms() - rows[i].written_at > 3 * ENTRY_INTERVAL_MS) {
			record("entry %s expired", rows[i].key);
			version++;
			put_row("servers", "", rows[i].key, NULL);
		}
}

static void tick_store(void)
{
	int i;

	for (i = 0; i < 64; i++) {
		json_t *current;

		if (!lates[i].root || now_ms() < lates[i].at)
			continue;
		current = json_array();
		log_writes(lates[i].root, apply_tx(lates[i].root, current)
						  ? "written late"
						  : "late, its condition fails");
		json_decref(current);
		json_decref(lates[i].root);
		lates[i].root = NULL;
	}
	expire_entries();
}

static long long until_of(json_t *o, const char *name, long long before)
{
	json_t *ms = json_object_get(o, name);

	return ms ? now_ms() + json_integer_value(ms) : before;
}

/* POST /rig/set {"slow":FACTOR,"silent":MS,"busy":MS} */
static void set_store(struct conn *c)
{
	json_t *o = json_loads(c->body, 0, NULL);

	if (json_object_get(o, "slow"))
		slow = (int)json_integer_value(json_object_get(o, "slow"));
	silent_until = until_of(o, "silent", silent_until);
	busy_until = until_of(o, "busy", busy_until);
	record("set %s", c->body);
	json_decref(o);
	reply_json(c, 200, json_object(), 0);
}

/* POST /rig/lose {"table":T,"count":N,"ms":M} */
static void control_store(struct conn *c)
{
	json_t *o = json_loads(c->body, 0, NULL);

	snprintf(lose_table, sizeof(lose_table), "%s", text_of(o, "table"));
	lose_left = (int)json_integer_value(json_object_get(o, "count"));
	lose_ms = (int)json_integer_value(json_object_get(o, "ms"));
	record("loses %d writes to %s, made %d ms later", lose_left, lose_table,
	       lose_ms);
	json_decref(o);
	reply_json(c, 200, json_object(), 0);
}

static void handle_store(struct conn *c)
{
	if (c->apply_at < 0)
		return;
	if (!strcmp(c->path, "/rig/set"))
		set_store(c);
	else if (now_ms() < silent_until)
		c->apply_at = -1; /* never answered */
	else if (now_ms() < busy_until)
		reply_json(c, 503, json_object(), 0);
	else if (!strncmp(c->path, "/api/rows-get?", 14))
		rows_get(c);
	else if (!strncmp(c->path, "/api/rows-feed?", 15))
		rows_feed(c);
	else if (!strcmp(c->path, "/api/rows-tx"))
		rows_tx(c);
	else if (!strcmp(c->path, "/rig/lose"))
		control_store(c);
	else
		reply_json(c, 404, json_object(), 0);
	if (c->apply_at > 0)
		keep_late(c);
}

static int run_store(int port, const char *manifest)
{
	char text[ROW_BYTES], *value;
	FILE *f = fopen(manifest, "r");
	size_t n = f ? fread(text, 1, sizeof(text), f) : 0;

	if (!n)
		return 2;
	fclose(f);
	value = base64(text, n);
	version++;
	put_row("op", "", "config", value);
	free(value);
	serve(port, handle_store, tick_store);
	return 0;
}

/* --- a worker ------------------------------------------------------------ */

struct run {
	char task[96];
	long long run;
	double work_ms, done_ms;
	int fails;
};

struct end {
	long long number, run;
	char task[96];
	const char *how;
};

struct highest {
	char task[96];
	long long run;
};

static struct run runs[256];
static struct end ends[4096];
static struct highest highest[4096];
static size_t nruns, nends, nhighest;
static long long last_end, fence, lease_until, born, clock_base, advanced_at;
static long long entry_written_at, sequence;
static char id[64], zone[64], store_address[64];
static int own_port;
static double speed = 1;
static long long capacity = 16000;

static long long worker_clock(void)
{
	return now_ms() - clock_base;
}

static struct highest *find_highest(const char *task)
{
	size_t i;

	for (i = 0; i < nhighest; i++)
		if (!strcmp(highest[i].task, task))
			return &highest[i];
	return NULL;
}

static void raise_highest(const char *task, long long run)
{
	struct highest *h = find_highest(task);

	if (!h) {
		h = &highest[nhighest++ % 4096];
		snprintf(h->task, sizeof(h->task), "%s", task);
		h->run = 0;
	}
	if (run > h->run)
		h->run = run;
}

static void end_run(size_t i, const char *how)
{
	struct end *e = &ends[nends++ % 4096];

	e->number = ++last_end;
	e->run = runs[i].run;
	snprintf(e->task, sizeof(e->task), "%s", runs[i].task);
	e->how = how;
	raise_highest(e->task, e->run);
	record("end %s %lld %s", e->task, e->run, how);
	runs[i] = runs[--nruns];
}

static void write_entry(void)
{
	char text[1024], body[4096], answer[4096], *value;

	entry_written_at = now_ms();
	snprintf(text, sizeof(text),
		 "{\"service\":\"desk\",\"address\":\"127.0.0.1:%d\","
		 "\"zone\":\"%s\",\"version\":\"v1\",\"slots\":8,"
		 "\"state\":\"ready\",\"coldRemainingMs\":0,\"capacity\":"
		 "{\"cpu\":%lld,\"taskMemoryMb\":65536},\"labels\":[\"a\","
		 "\"r-%s\"],\"machine\":\"m-%s\",\"born\":%lld,"
		 "\"sequence\":%lld}",
		 own_port, zone, capacity, zone, id, born, ++sequence);
	value = base64(text, strlen(text));
	snprintf(body, sizeof(body),
		 "{\"expectedRevision\":[],\"writes\":[{\"table\":\"servers\","
		 "\"part\":\"\",\"key\":\"%s\",\"value\":\"%s\"}],"
		 "\"remove\":[]}",
		 id, value);
	free(value);
	call("POST", store_address, "/api/rows-tx", "X-Rig-Worker: 1\r\n", body,
	     300, answer, sizeof(answer));
}

static void tick_worker(void)
{
	long long now = now_ms();
	size_t i;

	for (i = nruns; i-- > 0;) {
		runs[i].done_ms += (double)(now - advanced_at) * speed;
		if (runs[i].done_ms >= runs[i].work_ms)
			end_run(i, runs[i].fails ? "failed" : "done");
		else if (worker_clock() >= lease_until)
			end_run(i, "lapsed");
	}
	advanced_at = now;
	if (now - entry_written_at >= ENTRY_INTERVAL_MS)
		write_entry();
}

static void refuse(struct conn *c, const char *reason)
{
	reply_json(c, 409,
		   json_pack("{s:I,s:s}", "clockMs", (json_int_t)worker_clock(),
			     "reason", reason),
		   0);
}

static void accept_call(struct conn *c)
{
	reply_json(c, 200,
		   json_pack("{s:I}", "clockMs", (json_int_t)worker_clock()),
		   0);
}

static void renew(json_t *o)
{
	long long until = json_integer_value(json_object_get(o, "untilMs"));

	if (until > worker_clock() + LEASE_MS)
		until = worker_clock() + LEASE_MS;
	if (until > lease_until)
		lease_until = until;
}

static size_t find_run(const char *task, long long run)
{
	size_t i;

	for (i = 0; i < nruns; i++)
		if (runs[i].run == run && !strcmp(runs[i].task, task))
			break;
	return i;
}

static void start_run(struct conn *c, json_t *o)
{
	const char *task = text_of(o, "task");
	const char *specification = text_of(o, "specification");
	long long run = json_integer_value(json_object_get(o, "run"));
	struct highest *h = find_highest(task);
	struct run *r;

	if (!*task || run < 1) {
		reply_json(c, 400, json_object(), 0);
		return;
	}
	if (json_integer_value(json_object_get(o, "untilMs")) <=
	    worker_clock()) {
		refuse(c, "late");
		return;
	}
	if (find_run(task, run) < nruns) {
		accept_call(c);
		return;
	}
	if ((h && run <= h->run) || nruns == 256) {
		renew(o);
		refuse(c, nruns == 256 ? "room" : "old");
		return;
	}
	renew(o);
	r = &runs[nruns++];
	memset(r, 0, sizeof(*r));
	snprintf(r->task, sizeof(r->task), "%s", task);
	r->run = run;
	r->work_ms = atof(specification);
	r->fails = strstr(specification, "fails") != NULL;
	record("start %s %lld", task, run);
	accept_call(c);
}

static void stop_run(struct conn *c, json_t *o)
{
	const char *task = text_of(o, "task");
	long long run = json_integer_value(json_object_get(o, "run"));
	size_t i = find_run(task, run);

	if (i < nruns)
		end_run(i, "stopped");
	else
		raise_highest(task, run);
	accept_call(c);
}

static void hold(struct conn *c, json_t *o)
{
	long long seen = json_integer_value(json_object_get(o, "lastSeen"));
	long long wait = json_integer_value(json_object_get(o, "waitMs"));
	json_t *running, *finished;
	size_t i, kept = 0;

	if (!c->renewed)
		renew(o);
	c->renewed = 1;
	for (i = 0; i < nends; i++) {
		if (ends[i].number <= seen) {
			record("noted %s %lld %s", ends[i].task, ends[i].run,
			       ends[i].how);
			continue;
		}
		ends[kept++] = ends[i];
	}
	nends = kept;
	if (!nends && now_ms() - c->since < wait)
		return;
	running = json_array();
	finished = json_array();
	for (i = 0; i < nruns; i++)
		json_array_append_new(
			running,
			json_pack("[s,I,s,i,i]", runs[i].task,
				  (json_int_t)runs[i].run, "",
				  (int)(100 * runs[i].done_ms /
					runs[i].work_ms),
				  1000));
	for (i = 0; i < nends && i < 500; i++)
		json_array_append_new(
			finished,
			json_pack("[I,s,I,s,s]", (json_int_t)ends[i].number,
				  ends[i].task, (json_int_t)ends[i].run,
				  ends[i].how, ""));
	reply_json(c, 200,
		   json_pack("{s:I,s:I,s:o,s:o}", "clockMs",
			     (json_int_t)worker_clock(), "born",
			     (json_int_t)born, "running", running, "finished",
			     finished),
		   0);
}

/* Of the orders, this percent is left unanswered and carried out late. */
static int late_percent, late_min, late_max;
static long long late_until;

/* POST /rig/late {"percent":P,"ms":M,"min":MS,"max":MS} */
static void set_late(struct conn *c)
{
	json_t *o = json_loads(c->body, 0, NULL);

	late_percent = (int)json_integer_value(json_object_get(o, "percent"));
	late_min = (int)json_integer_value(json_object_get(o, "min"));
	late_max = (int)json_integer_value(json_object_get(o, "max"));
	late_until = until_of(o, "ms", 0);
	record("set %s", c->body);
	json_decref(o);
	reply_json(c, 200, json_object(), 0);
}

/* Whether the order waits to be carried out late, or has been. */
static int is_late(struct conn *c)
{
	if (c->apply_at < 0)
		return 1;
	if (!c->apply_at && late_max && now_ms() < late_until &&
	    rand() % 100 < late_percent)
		c->apply_at = now_ms() + late_min +
			      rand() % (late_max - late_min + 1);
	else if (!c->apply_at)
		c->apply_at = 1; /* in time */
	return c->apply_at > now_ms();
}

static void handle_order(struct conn *c);

static void handle_worker(struct conn *c)
{
	int late;

	if (!strcmp(c->path, "/rig/late")) {
		set_late(c);
		return;
	}
	if (is_late(c))
		return;
	late = c->apply_at > 1;
	if (late)
		record("late %s %s", c->path, c->body);
	handle_order(c);
	if (late) {
		/* It is carried out, and not answered. */
		free(c->reply);
		c->reply = NULL;
		c->apply_at = -1;
	}
}

static void handle_order(struct conn *c)
{
	json_t *o;
	long long token;

	if (!strcmp(c->method, "GET")) {
		reply_json(c, 200, json_object(), 0);
		return;
	}
	if (c->instance[0] && strcmp(c->instance, id) != 0) {
		reply_json(c, 421, json_object(), 0);
		return;
	}
	o = json_loads(c->body, 0, NULL);
	token = json_integer_value(json_object_get(o, "fencingToken"));
	if (token < fence) {
		refuse(c, "fence");
	} else {
		fence = token;
		if (!strcmp(c->path, "/api/run-start"))
			start_run(c, o);
		else if (!strcmp(c->path, "/api/run-stop"))
			stop_run(c, o);
		else if (!strcmp(c->path, "/api/hold"))
			hold(c, o);
		else
			reply_json(c, 404, json_object(), 0);
	}
	json_decref(o);
}

static int run_worker(int port)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	born = (long long)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
	own_port = port;
	clock_base = now_ms() - 1000;
	advanced_at = now_ms();
	record("up");
	serve(port, handle_worker, tick_worker);
	return 0;
}

/* --- main ---------------------------------------------------------------- */

static int run_call(char **argv, int argc)
{
	char headers[512], answer[65536];
	int status;

	snprintf(headers, sizeof(headers),
		 "Host: %s\r\nX-Rosemarypoint-Deadline: %s\r\n", argv[5],
		 argv[6]);
	status = call(argv[2], argv[3], argv[4], headers,
		      argc > 7 ? argv[7] : "", atoi(argv[6]) + 1000, answer,
		      sizeof(answer));
	printf("%d %s\n", status, answer);
	return 0;
}

/* Prints the first of n ports of loopback that are all free. */
static int print_free(int n)
{
	int base = 20000 + getpid() % 100 * 100, i, tries;

	for (tries = 0; tries < 100; tries++, base += 100) {
		if (base + n > 31000)
			base = 20000;
		for (i = 0; i < n; i++) {
			struct sockaddr_in sa = {
				.sin_family = AF_INET,
				.sin_port = htons((uint16_t)(base + i))
			};
			int fd = socket(AF_INET, SOCK_STREAM, 0), rc;

			sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
			rc = bind(fd, (struct sockaddr *)&sa, sizeof(sa));
			close(fd);
			if (rc < 0)
				break;
		}
		if (i == n) {
			printf("%d\n", base);
			return 0;
		}
	}
	return 2;
}

static int run_put(char **argv)
{
	static char text[ROW_BYTES], body[2 * ROW_BYTES], answer[4096];
	FILE *f = fopen(argv[4], "r");
	size_t n = f ? fread(text, 1, sizeof(text), f) : 0;
	char *value = base64(text, n);
	int status;

	snprintf(body, sizeof(body),
		 "{\"expectedRevision\":[],\"writes\":[{\"table\":\"op\","
		 "\"part\":\"\",\"key\":\"%s\",\"value\":\"%s\"}],"
		 "\"remove\":[]}",
		 argv[3], value);
	status = call("POST", argv[2], "/api/rows-tx", "X-Rig-Worker: 1\r\n",
		      body, 2000, answer, sizeof(answer));
	printf("%d\n", status);
	return n && status == 200 ? 0 : 2;
}

int main(int argc, char **argv)
{
	if (argc == 5 && !strcmp(argv[1], "put"))
		return run_put(argv);
	if (argc > 2 && !strcmp(argv[1], "free"))
		return print_free(atoi(argv[2]));
	if (argc > 1 && !strcmp(argv[1], "now")) {
		printf("%lld\n", now_ms());
		return 0;
	}
	if (argc >= 7 && !strcmp(argv[1], "call"))
		return run_call(argv, argc);
	if (argc < 5)
		return 2;
	record_fd = open(argv[3], O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC,
			 0644);
	if (!strcmp(argv[1], "store")) {
		snprintf(who, sizeof(who), "store");
		return run_store(atoi(argv[2]), argv[4]);
	}
	if (argc < 7 || strcmp(argv[1], "worker") != 0)
		return 2;
	snprintf(store_address, sizeof(store_address), "%s", argv[4]);
	snprintf(id, sizeof(id), "%s", argv[5]);
	snprintf(who, sizeof(who), "%s", argv[5]);
	snprintf(zone, sizeof(zone), "%s", argv[6]);
	if (argc > 7)
		speed = atof(argv[7]);
	if (argc > 8)
		capacity = atoll(argv[8]);
	return run_worker(atoi(argv[2]));
}
