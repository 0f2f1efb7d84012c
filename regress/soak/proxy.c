/*
 * A proxy on loopback that spoils connections as it is told.
 *
 *   proxy FROM:TO...   listens on port FROM, connects to port TO
 *
 * Commands on standard input, a line each: NUMBER MODE [MS], where NUMBER
 * counts the pairs from 0 and MODE is
 *   pass      as it comes
 *   delay MS  each piece is held back so long
 *   silent    nothing passes, nothing is closed
 *   cut-to    nothing passes towards TO
 *   cut-from  nothing passes back
 *   reset     all connections are reset, new ones as well
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

#define PAIRS 128
#define CONNS 1024
#define PIECE 16384
#define HELD (256 * 1024) /* bytes held back in one direction, at most */
#define TURN_MS 3	  /* between looks at what is held back */

enum mode { PASS, DELAY, SILENT, CUT_TO, CUT_FROM, RESET, MODES };

static const char *const names[] = { "pass",   "delay",	   "silent",
				     "cut-to", "cut-from", "reset" };

struct pair {
	int from, to, listener;
	enum mode mode;
	int64_t delay;
};

struct piece {
	struct piece *next;
	int64_t due;
	size_t len, at;
	char data[];
};

/* Side 0 is who connected here, side 1 is who is connected to. */
struct conn {
	struct pair *pair;
	int fd[2];
	int ended[2]; /* has sent its last byte */
	int shut[2];
	struct piece *head[2], **tail[2]; /* from that side */
	size_t held[2];
	int poll_at;
};

static struct pair pairs[PAIRS];
static size_t npairs;
static struct conn *conns[CONNS];
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

static void conn_close(size_t i, int reset)
{
	struct linger hard = { 1, 0 };
	struct conn *c = conns[i];
	int side;

	for (side = 0; side < 2; side++) {
		if (reset)
			setsockopt(c->fd[side], SOL_SOCKET, SO_LINGER, &hard,
				   sizeof(hard));
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
	/* On loopback a connection is made or refused at once. */
	if (nconns == CONNS || pair->mode == RESET ||
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

static int passes(const struct conn *c, int side)
{
	enum mode mode = c->pair->mode;

	return mode != SILENT && mode != (side ? CUT_FROM : CUT_TO);
}

/* Returns -1 when the connection is broken. */
static int take(struct conn *c, int side)
{
	char data[PIECE];
	ssize_t n = recv(c->fd[side], data, sizeof(data), MSG_DONTWAIT);
	struct piece *piece;

	if (n < 0)
		return -1;
	if (n == 0) {
		c->ended[side] = 1;
		return 0;
	}
	piece = malloc(sizeof(*piece) + (size_t)n);
	piece->next = NULL;
	piece->due = now_ms() + (c->pair->mode == DELAY ? c->pair->delay : 0);
	piece->len = (size_t)n;
	piece->at = 0;
	memcpy(piece->data, data, (size_t)n);
	*c->tail[side] = piece;
	c->tail[side] = &piece->next;
	c->held[side] += (size_t)n;
	return 0;
}

/* Passes on what a side sent. Returns -1 when the connection is broken. */
static int give(struct conn *c, int side)
{
	struct piece *piece;

	while ((piece = c->head[side]) && piece->due <= now_ms()) {
		ssize_t n = send(c->fd[!side], piece->data + piece->at,
				 piece->len - piece->at,
				 MSG_DONTWAIT | MSG_NOSIGNAL);

		if (n < 0)
			return 0;
		piece->at += (size_t)n;
		c->held[side] -= (size_t)n;
		if (piece->at < piece->len)
			return 0;
		c->head[side] = piece->next;
		if (!piece->next)
			c->tail[side] = &c->head[side];
		free(piece);
	}
	if (c->ended[side] && !c->head[side] && !c->shut[side]) {
		c->shut[side] = 1;
		shutdown(c->fd[!side], SHUT_WR);
	}
	return c->shut[0] && c->shut[1] ? -1 : 0;
}

static void command(char *line)
{
	char mode[16];
	unsigned number;
	long long ms = 0;
	size_t i;

	if (sscanf(line, "%u %15s %lld", &number, mode, &ms) < 2 ||
	    number >= npairs)
		return;
	for (i = 0; i < MODES; i++)
		if (!strcmp(mode, names[i]))
			pairs[number].mode = (enum mode)i;
	pairs[number].delay = ms;
	for (i = nconns; pairs[number].mode == RESET && i-- > 0;)
		if (conns[i]->pair == &pairs[number])
			conn_close(i, 1);
}

/* Returns 0 when whoever gives the commands is gone. */
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
		command(line);
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
		int side, broken = 0;

		for (side = 0; side < 2 && !broken; side++) {
			/* A new one was not polled. */
			short got = c->poll_at ? fds[c->poll_at + side].revents
					       : 0;

			if (!passes(c, side))
				continue;
			if (got & (POLLIN | POLLHUP | POLLERR) &&
			    !c->ended[side] && c->held[side] < HELD)
				broken = take(c, side) < 0;
			if (!broken)
				broken = give(c, side) < 0;
		}
		if (broken)
			conn_close(i, !c->shut[0] || !c->shut[1]);
	}
}

static void run(void)
{
	static struct pollfd fds[1 + PAIRS + 2 * CONNS];
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

			conns[i]->poll_at = (int)n;
			for (side = 0; side < 2; side++)
				fds[n++] = (struct pollfd){
					.fd = passes(conns[i], side) &&
							      !conns[i]->ended
								       [side]
						      ? conns[i]->fd[side]
						      : -1,
					.events = POLLIN,
				};
		}
		if (poll(fds, n, TURN_MS) < 0)
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
	for (i = 1; i < argc && npairs < PAIRS; i++) {
		struct pair *pair = &pairs[npairs];

		if (sscanf(argv[i], "%d:%d", &pair->from, &pair->to) != 2)
			return 2;
		pair->listener = listen_on(pair->from);
		npairs++;
	}
	run();
	return 0;
}
