/*
 * Clients that do not behave: each opens a connection, sends a request or a
 * part of it, and stays. Prints "settled" once all have sent what they send or
 * were turned away. They stay until SIGTERM; then it prints what the watched
 * processes held at most, as JSON.
 */

#include "crowd.h"

#include <argp.h>
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define CLIENTS_MAX 4096
#define HEAD_MAX 512
#define OUT_MAX 65536	    /* bytes that are made at a time */
#define SAMPLE_MS 10	    /* between samples of the processes */
#define QUIET_MS 2000	    /* without progress until the crowd has settled */
#define SETTLE_MAX_MS 60000 /* the same at the latest */

struct client {
	int fd; /* -1: turned away for good */
	int retries;
	int whole;	   /* sends the body to its end */
	long long at, end; /* bytes of the body: sent, to send */
	char *out;	   /* made, not written yet */
	size_t out_at, out_len;
	int ended; /* the end of the body has been made */
};

static struct {
	struct sockaddr_in sa;
	const char *path, *text, *tail, *id_header;
	size_t clients;
	long long body, send;
	size_t chunk, piece;
	long header;
	int chunked, idle, array, finish, retries;
} f = { .path = "/q/",
	.text = "",
	.tail = "",
	.clients = 1,
	.send = -1,
	.retries = 2 };

static struct watch watch;
static struct client clients[CLIENTS_MAX];
static int epoll;
static long long progress; /* bytes sent and connections ended */
static int closed, statuses[6];
static volatile sig_atomic_t stopped;

static int64_t now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

/* --- what a client sends ------------------------------------------------- */

static void make_head(struct client *c)
{
	static unsigned long long last;
	unsigned long long id = ++last + ((unsigned long long)getpid() << 32);
	int n;

	if (f.idle)
		return;
	n = snprintf(c->out, HEAD_MAX,
		     "POST %s%016llx HTTP/1.1\r\nHost: 127.0.0.1\r\n"
		     "Content-Type: application/json\r\n",
		     f.path, id);
	if (f.id_header)
		n = snprintf(c->out, HEAD_MAX,
			     "POST %s HTTP/1.1\r\nHost: 127.0.0.1\r\n"
			     "%s: %016llx\r\n",
			     f.path, f.id_header, id);
	if (f.header)
		n += snprintf(c->out + n, HEAD_MAX, "X-Padding: ");
	else if (f.chunked)
		n += snprintf(c->out + n, HEAD_MAX,
			      "Transfer-Encoding: chunked\r\n\r\n");
	else
		n += snprintf(c->out + n, HEAD_MAX,
			      "Content-Length: %lld\r\n\r\n", f.body);
	c->out_len = (size_t)n;
}

/* The byte of the body at the position. */
static char body_byte(long long at, size_t text_len, size_t tail_len)
{
	long long tail_at = f.body - (long long)tail_len;

	if (f.header)
		return 'x';
	if (f.array)
		return at == 0 ? '[' : at == f.body - 1 ? ']' : ",0"[at & 1];
	if (at < (long long)text_len)
		return f.text[at];
	return at < tail_at ? ' ' : f.tail[at - tail_at];
}

static size_t make_body(char *to, long long at, size_t n)
{
	size_t text_len = strlen(f.text), tail_len = strlen(f.tail), i;

	for (i = 0; i < n; i++)
		to[i] = body_byte(at + (long long)i, text_len, tail_len);
	return n;
}

/* Makes the next part of the body, or of its end. */
static void make_part(struct client *c)
{
	size_t n = f.piece ? f.piece : OUT_MAX / 2;

	if ((long long)n > c->end - c->at)
		n = (size_t)(c->end - c->at);
	c->out_at = c->out_len = 0;
	if (!n && f.chunked && c->whole && !c->ended) {
		c->ended = 1;
		c->out_len = (size_t)sprintf(c->out, "0\r\n\r\n");
	}
	if (!f.chunked) {
		c->out_len = make_body(c->out, c->at, n);
		c->at += (long long)n;
		return;
	}
	while (n && c->out_len + f.chunk + 32 < OUT_MAX) {
		size_t len = f.chunk < n ? f.chunk : n;

		c->out_len +=
			(size_t)sprintf(c->out + c->out_len, "%zx\r\n", len);
		c->out_len += make_body(c->out + c->out_len, c->at, len);
		memcpy(c->out + c->out_len, "\r\n", 2);
		c->out_len += 2;
		c->at += (long long)len;
		n -= len;
	}
}

/* --- connections --------------------------------------------------------- */

static void watch_client(struct client *c, int op, uint32_t events)
{
	struct epoll_event ev = { .events = events, .data.ptr = c };

	epoll_ctl(epoll, op, c->fd, &ev);
}

static void open_client(struct client *c)
{
	c->at = 0;
	c->ended = 0;
	c->out_at = c->out_len = 0;
	c->end = c->whole && !f.header ? f.body : f.send;
	c->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	if (c->fd < 0) {
		perror("socket");
		exit(1);
	}
	connect(c->fd, (struct sockaddr *)&f.sa, sizeof(f.sa));
	make_head(c);
	watch_client(c, EPOLL_CTL_ADD, EPOLLIN | EPOLLOUT);
}

static void close_client(struct client *c)
{
	progress++;
	closed++;
	close(c->fd);
	c->fd = -1;
	if (c->retries-- > 0)
		open_client(c);
}

static void write_client(struct client *c)
{
	ssize_t n;

	if (c->out_at == c->out_len)
		make_part(c);
	if (c->out_at == c->out_len) {
		watch_client(c, EPOLL_CTL_MOD, EPOLLIN);
		return;
	}
	n = send(c->fd, c->out + c->out_at, c->out_len - c->out_at,
		 MSG_NOSIGNAL);
	if (n > 0) {
		c->out_at += (size_t)n;
		progress += n;
	}
}

/* Returns 0 if the connection has ended. */
static int read_client(struct client *c)
{
	char answer[4096];
	ssize_t n = recv(c->fd, answer, sizeof(answer) - 1, 0);

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return 1;
	if (n <= 0)
		return 0;
	answer[n] = '\0';
	if (!strncmp(answer, "HTTP/1.1 ", 9) && answer[9] >= '1' &&
	    answer[9] <= '5')
		statuses[answer[9] - '0']++;
	return 1;
}

static void on_event(struct client *c, uint32_t events)
{
	if ((events & (EPOLLIN | EPOLLERR | EPOLLHUP)) && !read_client(c)) {
		close_client(c);
		return;
	}
	if (events & EPOLLOUT)
		write_client(c);
}

/* --- flags -----------------------------------------------------------------
 */

static const struct argp_option options[] = {
	{ "address", 'a', "IP:PORT", 0, "where the clients connect", 0 },
	{ "clients", 'n', "COUNT", 0, "number of clients", 0 },
	{ "path", 'p', "PATH", 0, "a number is appended to it", 0 },
	{ "text", 't', "TEXT", 0, "begin of the body; blanks follow", 0 },
	{ "tail", 'T', "TEXT", 0, "end of the body", 0 },
	{ "id-header", 'I', "NAME", 0, "has the number, not the path", 0 },
	{ "array", 'A', NULL, 0, "the body is an array of numbers", 0 },
	{ "body", 'b', "BYTES", 0, "length of the body", 0 },
	{ "send", 's', "BYTES", 0, "sent of the body, default: body - 1", 0 },
	{ "chunk", 'c', "BYTES", 0, "chunked, each of this length", 0 },
	{ "piece", 'P', "BYTES", 0, "sent at a time, default: many", 0 },
	{ "header", 'H', "BYTES", 0, "a header without its end", 0 },
	{ "idle", 'i', NULL, 0, "send nothing", 0 },
	{ "finish", 'f', "N", 0, "each Nth client sends the whole body", 0 },
	{ "retries", 'r', "N", 0, "new connections after the first", 0 },
	{ "pid", 'w', "PID", 0, "watch the process; repeatable", 0 },
	{ "port", 'u', "PORT", 0, "count its unread bytes; repeatable", 0 },
	{ 0 },
};

static int parse_address(const char *text)
{
	char host[64];
	const char *colon = strchr(text, ':');

	if (!colon || colon - text >= (long)sizeof(host))
		return -1;
	memcpy(host, text, (size_t)(colon - text));
	host[colon - text] = '\0';
	f.sa.sin_family = AF_INET;
	f.sa.sin_port = htons((uint16_t)atoi(colon + 1));
	return inet_pton(AF_INET, host, &f.sa.sin_addr) == 1 ? 0 : -1;
}

static error_t parse_flag(int key, char *arg, struct argp_state *state)
{
	if (key == 'a' && parse_address(arg) < 0)
		argp_error(state, "invalid address");
	else if (key == 'n')
		f.clients = strtoul(arg, NULL, 10);
	else if (key == 'p')
		f.path = arg;
	else if (key == 't')
		f.text = arg;
	else if (key == 'T')
		f.tail = arg;
	else if (key == 'I')
		f.id_header = arg;
	else if (key == 'A')
		f.array = 1;
	else if (key == 'b')
		f.body = atoll(arg);
	else if (key == 's')
		f.send = atoll(arg);
	else if (key == 'c')
		f.chunk = strtoul(arg, NULL, 10);
	else if (key == 'P')
		f.piece = strtoul(arg, NULL, 10);
	else if (key == 'H')
		f.header = atol(arg);
	else if (key == 'i')
		f.idle = 1;
	else if (key == 'f')
		f.finish = atoi(arg);
	else if (key == 'r')
		f.retries = atoi(arg);
	else if (key == 'w' && watch.npids < CROWD_PIDS_MAX)
		watch.pids[watch.npids++] = atoi(arg);
	else if (key == 'u' && watch.nports < CROWD_PORTS_MAX)
		watch.ports[watch.nports++] = atoi(arg);
	else if (key != 'a')
		return ARGP_ERR_UNKNOWN;
	return 0;
}

static void check_flags(void)
{
	f.chunked = f.chunk != 0;
	if (f.header)
		f.send = f.header;
	if (f.idle)
		f.send = 0;
	if (f.send < 0)
		f.send = f.body ? f.body - 1 : 0;
	if (!f.sa.sin_port || !f.clients || f.clients > CLIENTS_MAX ||
	    f.chunk > OUT_MAX / 2 || f.piece > OUT_MAX / 2) {
		fprintf(stderr, "crowd: invalid flags\n");
		exit(2);
	}
}

/* --- main -------------------------------------------------------------- */

static void on_signal(int sig)
{
	(void)sig;
	stopped = 1;
}

static void run(void)
{
	int64_t begun = now_ms(), sampled = 0, moved = begun;
	struct epoll_event events[256];
	long long seen = 0;
	int settled = 0, i, n;

	while (!stopped) {
		n = epoll_wait(epoll, events, 256, SAMPLE_MS);
		for (i = 0; i < n; i++)
			on_event(events[i].data.ptr, events[i].events);
		if (now_ms() - sampled >= SAMPLE_MS) {
			watch_sample(&watch);
			sampled = now_ms();
		}
		if (progress != seen)
			moved = now_ms();
		seen = progress;
		if (!settled && (now_ms() - moved >= QUIET_MS ||
				 now_ms() - begun >= SETTLE_MAX_MS)) {
			settled = 1;
			printf("settled\n");
			fflush(stdout);
		}
	}
}

int main(int argc, char **argv)
{
	static const struct argp argp = { options, parse_flag, NULL, NULL,
					  NULL,	   NULL,       NULL };
	struct sigaction act = { .sa_handler = on_signal };
	struct rlimit files = { CLIENTS_MAX + 64, CLIENTS_MAX + 64 };
	size_t i;

	argp_parse(&argp, argc, argv, 0, NULL, &f);
	check_flags();
	setrlimit(RLIMIT_NOFILE, &files);
	sigaction(SIGTERM, &act, NULL);
	sigaction(SIGINT, &act, NULL);
	epoll = epoll_create1(0);
	for (i = 0; i < f.clients; i++) {
		struct client *c = &clients[i];

		c->out = malloc(OUT_MAX);
		c->retries = f.retries;
		c->whole = f.finish && i % (size_t)f.finish == 0;
		open_client(c);
	}
	run();
	printf("{\"memory_kb\":%ld,\"descriptors\":%ld,\"ended\":%d,"
	       "\"sent_mb\":%lld,\"closed\":%d,\"answers_2xx\":%d,"
	       "\"answers_4xx\":%d,\"answers_5xx\":%d}\n",
	       watch.memory_kb, watch.descriptors, watch.ended, progress >> 20,
	       closed, statuses[2], statuses[4], statuses[5]);
	return 0;
}
