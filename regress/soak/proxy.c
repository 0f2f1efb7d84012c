/*
 * A TCP proxy on loopback that disrupts connections on command.
 *
 *   proxy FROM:TO...   forwards from port FROM to port TO
 *
 * Reads commands from standard input, one a line: NUMBER MODE [MS]. NUMBER is
 * the index of the port pair, from 0. MODE is
 *   pass      forwards data at once
 *   delay MS  forwards each piece of data after a delay
 *   silent    forwards no data and accepts and closes no connections
 *   cut-to    forwards no data towards TO
 *   cut-from  forwards no data towards FROM
 *   reset     resets all connections and closes new ones
 */

#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define PAIRS_MAX 256
#define CONNS_MAX 8192
#define PIECE_MAX 16384		/* bytes of one piece of data */
#define BUFFER_MAX (256 * 1024) /* bytes buffered per direction, at most */
#define POLL_MS 3		/* interval of checks for data that is due */

enum mode { PASS, DELAY, SILENT, CUT_TO, CUT_FROM, RESET, MODES };

static const char *const mode_names[] = { "pass",   "delay",	"silent",
					  "cut-to", "cut-from", "reset" };

struct pair {
	int from, to, listener;
	enum mode mode;
	int64_t delay; /* ms, in mode DELAY */
};

struct piece {
	struct piece *next;
	int64_t due; /* when it may be forwarded */
	size_t len, sent;
	char data[];
};

/*
 * Side 0 is the peer that connected to the proxy, side 1 the one that the proxy
 * has connected to.
 */
struct conn {
	struct pair *pair;
	int fd[2];
	int eof[2];  /* the side has sent its last byte */
	int shut[2]; /* all data from the side was forwarded */
	struct piece *head[2], **tail[2]; /* data from the side */
	size_t buffered[2];		  /* bytes of data from the side */
	int poll_index; /* of side 0 in the poll set; 0: not in it */
};

static struct pair pairs[PAIRS_MAX];
static size_t npairs;
static struct conn *conns[CONNS_MAX];
static size_t nconns;

static int64_t now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

static struct sockaddr_in loopback(int port)
{
	struct sockaddr_in sa = { .sin_family = AF_INET };

	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	sa.sin_port = htons((uint16_t)port);
	return sa;
}

static int listen_on(int port)
{
	struct sockaddr_in sa = loopback(port);
	int on = 1, fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&sa, sizeof(sa)) < 0 ||
	    listen(fd, 128) < 0) {
		perror("proxy: listen");
		exit(1);
	}
	return fd;
}

/* Closes both sides, with a TCP reset if reset is set. */
static void conn_close(size_t i, int reset)
{
	struct linger linger = { 1, 0 };
	struct conn *c = conns[i];
	int side;

	for (side = 0; side < 2; side++) {
		if (reset)
			setsockopt(c->fd[side], SOL_SOCKET, SO_LINGER, &linger,
				   sizeof(linger));
		close(c->fd[side]);
		while (c->head[side]) {
			struct piece *piece = c->head[side];

			c->head[side] = piece->next;
			free(piece);
		}
	}
	free(c);
	conns[i] = conns[--nconns];
}

static void accept_one(struct pair *pair)
{
	struct sockaddr_in sa = loopback(pair->to);
	int fd = accept4(pair->listener, NULL, NULL, SOCK_NONBLOCK), out;
	struct conn *c;

	if (fd < 0)
		return;
	out = socket(AF_INET, SOCK_STREAM, 0);
	/* connect() on loopback succeeds or fails without a wait. */
	if (nconns == CONNS_MAX || pair->mode == RESET ||
	    connect(out, (struct sockaddr *)&sa, sizeof(sa)) < 0) {
		close(out);
		close(fd);
		return;
	}
	c = calloc(1, sizeof(*c));
	c->pair = pair;
	c->fd[0] = fd;
	c->fd[1] = out;
	c->tail[0] = &c->head[0];
	c->tail[1] = &c->head[1];
	conns[nconns++] = c;
}

/* Whether the mode lets data from the side pass. */
static int passes(const struct conn *c, int side)
{
	enum mode mode = c->pair->mode;

	return mode != SILENT && mode != (side ? CUT_FROM : CUT_TO);
}

/* Reads data from a side. Returns -1 on an error of the socket. */
static int read_side(struct conn *c, int side)
{
	char data[PIECE_MAX];
	ssize_t n = recv(c->fd[side], data, sizeof(data), MSG_DONTWAIT);
	struct piece *piece;

	if (n < 0)
		return -1;
	if (n == 0) {
		c->eof[side] = 1;
		return 0;
	}
	piece = malloc(sizeof(*piece) + (size_t)n);
	piece->next = NULL;
	piece->due = now_ms() + (c->pair->mode == DELAY ? c->pair->delay : 0);
	piece->len = (size_t)n;
	piece->sent = 0;
	memcpy(piece->data, data, (size_t)n);
	*c->tail[side] = piece;
	c->tail[side] = &piece->next;
	c->buffered[side] += (size_t)n;
	return 0;
}

/*
 * Forwards the data from a side that is due. Returns -1 when both sides have
 * ended.
 */
static int forward_side(struct conn *c, int side)
{
	struct piece *piece;

	while ((piece = c->head[side]) && piece->due <= now_ms()) {
		ssize_t n = send(c->fd[!side], piece->data + piece->sent,
				 piece->len - piece->sent,
				 MSG_DONTWAIT | MSG_NOSIGNAL);

		if (n < 0)
			return 0;
		piece->sent += (size_t)n;
		c->buffered[side] -= (size_t)n;
		if (piece->sent < piece->len)
			return 0;
		c->head[side] = piece->next;
		if (!piece->next)
			c->tail[side] = &c->head[side];
		free(piece);
	}
	if (c->eof[side] && !c->head[side] && !c->shut[side]) {
		c->shut[side] = 1;
		shutdown(c->fd[!side], SHUT_WR);
	}
	return c->shut[0] && c->shut[1] ? -1 : 0;
}

static void run_command(char *line)
{
	char mode[16];
	unsigned number;
	long long ms = 0;
	size_t i;

	if (sscanf(line, "%u %15s %lld", &number, mode, &ms) < 2 ||
	    number >= npairs)
		return;
	for (i = 0; i < MODES; i++)
		if (!strcmp(mode, mode_names[i]))
			pairs[number].mode = (enum mode)i;
	pairs[number].delay = ms;
	for (i = nconns; pairs[number].mode == RESET && i-- > 0;)
		if (conns[i]->pair == &pairs[number])
			conn_close(i, 1);
}

/* Returns 0 when standard input has ended. */
static int read_commands(void)
{
	static char text[4096];
	static size_t len;
	ssize_t n = read(0, text + len, sizeof(text) - 1 - len);
	char *line = text, *end;

	if (n <= 0)
		return 0;
	len += (size_t)n;
	text[len] = '\0';
	while ((end = strchr(line, '\n'))) {
		*end = '\0';
		run_command(line);
		line = end + 1;
	}
	len = strlen(line);
	memmove(text, line, len);
	return 1;
}

static void serve_conns(const struct pollfd *fds)
{
	size_t i;

	for (i = nconns; i-- > 0;) {
		struct conn *c = conns[i];
		int side, closed = 0;

		for (side = 0; side < 2 && !closed; side++) {
			/* A new connection was not in the poll set. */
			short revents =
				c->poll_index
					? fds[c->poll_index + side].revents
					: 0;

			if (!passes(c, side))
				continue;
			if (revents & (POLLIN | POLLHUP | POLLERR) &&
			    !c->eof[side] && c->buffered[side] < BUFFER_MAX)
				closed = read_side(c, side) < 0;
			if (!closed)
				closed = forward_side(c, side) < 0;
		}
		if (closed)
			conn_close(i, !c->shut[0] || !c->shut[1]);
	}
}

static void run(void)
{
	static struct pollfd fds[1 + PAIRS_MAX + 2 * CONNS_MAX];
	size_t i;

	for (;;) {
		size_t n = 0;

		fds[n++] = (struct pollfd){ .fd = 0, .events = POLLIN };
		for (i = 0; i < npairs; i++)
			fds[n++] = (struct pollfd){
				.fd = pairs[i].mode == SILENT
					      ? -1
					      : pairs[i].listener,
				.events = POLLIN,
			};
		for (i = 0; i < nconns; i++) {
			int side;

			conns[i]->poll_index = (int)n;
			for (side = 0; side < 2; side++)
				fds[n++] = (struct pollfd){
					.fd = passes(conns[i], side) &&
							      !conns[i]->eof[side]
						      ? conns[i]->fd[side]
						      : -1,
					.events = POLLIN,
				};
		}
		if (poll(fds, n, POLL_MS) < 0)
			continue;
		if (fds[0].revents && !read_commands())
			return;
		serve_conns(fds);
		for (i = 0; i < npairs; i++)
			if (fds[1 + i].revents & POLLIN)
				accept_one(&pairs[i]);
	}
}

int main(int argc, char **argv)
{
	int i;

	signal(SIGPIPE, SIG_IGN);
	for (i = 1; i < argc && npairs < PAIRS_MAX; i++) {
		struct pair *pair = &pairs[npairs];

		if (sscanf(argv[i], "%d:%d", &pair->from, &pair->to) != 2)
			return 2;
		pair->listener = listen_on(pair->from);
		npairs++;
	}
	run();
	return 0;
}
