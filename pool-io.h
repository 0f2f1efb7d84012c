#ifndef POOL_IO_H
#define POOL_IO_H

/* Sockets, time, HTTP calls and links of rosemary-poold. */

#include "scheduler.h"

#include <curl/curl.h>
#include <stdint.h>

struct pool;
struct pool_member;

/* --- pool-loop.c: sockets and time ----------------------------------- */

/* A file descriptor that the event loop watches. */
struct pool_fd {
	int fd;
	uint32_t events; /* watched EPOLL* bits; 0: not in the epoll set */
	void (*on_event)(struct pool_fd *f, uint32_t events);
};

#define POOL_LEADER_TICK_MS 20
#define POOL_FOLLOWER_TICK_MS 25
/* A wakeup this late shows that the process or the VM was suspended. */
#define POOL_PAUSE_MS 300

/* Monotonic time in ms that includes the time while the VM is suspended. */
rp_ms pool_clock(void);
/* Adds the descriptor to the epoll set or changes its events. Returns 0, -1. */
int pool_fd_watch(struct pool *p, struct pool_fd *f, uint32_t events);
void pool_fd_unwatch(struct pool *p, struct pool_fd *f);
/* Frees memory after the events of this iteration, which may point to it. */
void pool_defer_free(struct pool *p, void *memory);
int pool_loop_init(struct pool *p);
void pool_loop_run(struct pool *p);
/* After SIGTERM: when the requests that are open then are aborted. */
rp_ms pool_answers_until(const struct pool *p);

/* --- pool-address.c: addresses as text and as numbers ----------------- */

struct sockaddr_in;
/*
 * Parses "ip:port". The port may be 0, to listen at any. Returns 0, or -1.
 */
int pool_parse_address(const char *text, struct sockaddr_in *sa);
/* An address to connect to, in 48 bits; 0: it is malformed. */
uint64_t pool_address_pack(const char *text);
/* text is a buffer of RP_ADDRESS_MAX bytes. */
void pool_address_unpack(uint64_t address, char *text);

/* --- pool-call.c: HTTP calls to the store and to targets ------------- */

struct pool_call;

/* status is that of HTTP, or 0 when no reply came. */
typedef void pool_call_cb(struct pool_call *c, long status, const char *body,
			  size_t len);
/* The reply to a call to a target that the scheduler asked for. */
typedef void pool_reply_cb(struct pool_call *c,
			   const struct sched_target_reply *reply);

struct pool_call {
	struct pool *p;
	CURL *easy; /* NULL when another VM makes the call */
	struct curl_slist *headers;
	char *request; /* body, owned; NULL: a GET */
	char *body;    /* of the reply */
	size_t len, cap;
	size_t held;	       /* bytes that are counted */
	unsigned attempts;     /* to send the request, see pool-call.c */
	int once;	       /* there must not be another one */
	pool_call_cb *on_done; /* NULL: the reply is ignored */
	struct pool_resend_spec *resend; /* NULL: it is sent once */
	struct pool_call *original;	 /* of which this is a copy, or NULL */
	pool_reply_cb *on_reply;
	/* A call that the leader has ordered from others. */
	struct pool_member *agent; /* that makes the call; NULL: none */
	struct pool_member *owner; /* that is asked for a start; NULL: none */
	uint32_t seq;		   /* number of the call */
	rp_ms expires_at;	   /* reply is due by then; 0: not ordered */
	/* On the agent: the link that the order came over. */
	uint64_t link_number;
	/* For the function that made the call. */
	void *user;
	uint64_t group; /* for pool_calls_cancel(); 0: none */
	uint64_t fence; /* the leader's fencing token */
	char task[SCHED_TASK_NAME_MAX];
	uint32_t tag; /* run number of a task, part of a table, or round */
	rp_ms sent_at;
	struct pool_call *next, **prev;
};

#define POOL_IDLE_HANDLES 256 /* libcurl handles kept for reuse */

struct pool_call_spec {
	const char *address;
	const char *path;
	const char *header; /* one more request header; NULL: none */
	char *request;	    /* body, ownership passes; NULL: a GET */
	rp_ms timeout;
	int fresh_connect; /* don't reuse a connection */
	int once;	   /* libcurl must not send the request again */
	pool_call_cb *on_done;
};

int pool_calls_init(struct pool *p);
/* Creates a call without a libcurl handle. pool_call_begin() adds one. */
struct pool_call *pool_call_new(struct pool *p,
				const struct pool_call_spec *spec);
/* Runs on_done with the reply and frees the call. */
void pool_call_end(struct pool_call *c, long status, const char *body,
		   size_t len);
/* Starts a call. Returns it, so that its user fields can be set. */
struct pool_call *pool_call_begin(struct pool *p,
				  const struct pool_call_spec *spec);
/* Whether the status says that the call has done nothing. */
int pool_call_refused(long status);
/* Time until libcurl's timer expires, ms; -1: it isn't armed. */
rp_ms pool_calls_timeout(const struct pool *p);
void pool_calls_tick(struct pool *p);
/* Lets the calls of a group finish without their callbacks. */
void pool_calls_cancel(struct pool *p, uint64_t group);

/* --- pool-resend.c: calls to targets that are sent again ---------------- */

#define POOL_COPIES_MAX 4

/* What a call that may be sent again needs for it. */
struct pool_resend_spec {
	char address[RP_ADDRESS_MAX];
	char header[RP_NAME_MAX + 64];
	const char *path;
	char *request; /* body of copies; NULL: that of the call */
	rp_ms wait;    /* for which the target may hold the call open */
	rp_ms due_at, expires_at;
	struct pool_call *copies[POOL_COPIES_MAX]; /* in flight */
	unsigned ncopies;			   /* that were sent */
};

struct pool_resend {
	double mean, deviation; /* of the time until a reply, ms */
	double loss;		/* mean share of calls that were lost */
	double tokens;		/* calls that may be sent again now */
	rp_ms due;		/* -1: no call is due */
};

void pool_resend_init(struct pool *p);
/* The time for which a hold is to wait at its target, at most wait. */
rp_ms pool_hold_wait(const struct pool *p, rp_ms wait);
/* Time for further copies of a call while many are lost, else 0, ms. */
rp_ms pool_resend_extra_time(const struct pool *p);
/*
 * Has the call sent again if there is no reply. wait is that of its target.
 * copy_request, whose ownership passes, is the body of copies; NULL: the same.
 */
void pool_resend_enable(struct pool_call *c, const struct pool_call_spec *spec,
			rp_ms wait, char *copy_request);
/* Sends the calls that are due; once per loop iteration. */
void pool_resend_tick(struct pool *p);
/* Time until a call is due, ms; -1: none is. */
rp_ms pool_resend_timeout(const struct pool *p);
/*
 * What the reply to a call means, given that it may have been sent twice: a
 * refusal of one copy says nothing of the other.
 */
enum sched_reply_status pool_resend_status(const struct pool_call *c,
					   enum sched_reply_status status);
/*
 * Whether a copy of the call was replied to, at a time when many calls are
 * lost: the call itself may be carried out late then.
 */
int pool_resend_is_lossy(const struct pool_call *c);
/* The call is about to be freed. */
void pool_resend_ended(struct pool_call *c, long status);

/* --- pool-link.c: connections between entry VMs ---------------------- */

enum pool_link_purpose {
	POOL_LINK_MEMBER, /* of a leader, from one of its members */
	POOL_LINK_PROBE,  /* one exchange of heartbeats */
	POOL_LINK_STARTS, /* from an owner of jobs to an agent */
};

/* Frames that wait to be written. */
struct pool_out {
	char *data;
	size_t len, cap;
};

struct pool_link {
	struct pool_fd fd; /* must be first */
	struct pool *p;
	struct pool_link *next;
	/* On the leader: the member that opened the link. NULL: none. */
	struct pool_member *member;
	/* Name of the VM at the other end; "": inbound, no hello has come. */
	char peer[RP_NAME_MAX];
	uint64_t number; /* unique in this process */
	int inbound;	 /* the peer opened the connection */
	int probe;	 /* POOL_LINK_PROBE */
	int starts;	 /* POOL_LINK_STARTS */
	int connecting, closed;
	int answers_only; /* all other frames are ignored */
	rp_ms opened_at;
	rp_ms received_at; /* when data last came */
	rp_ms written_at;  /* when frames were last written */
	char *in;
	size_t in_len, in_cap;
	/* Frames of urgent are written before those of bulk. */
	struct pool_out urgent, bulk;
	size_t bulk_rest; /* bytes left of a frame written in part */
	/* The latest heartbeat that was not brief, in each direction. */
	PoolBeat *heartbeat;	      /* received; NULL: none */
	uint64_t peer_clock;	      /* of the latest heartbeat that had it */
	rp_ms peer_clock_at;	      /* when that heartbeat came */
	int greeted;		      /* the leader's first heartbeat came */
	uint64_t sent_heartbeat_hash; /* of what brief ones leave out */
	rp_ms sent_heartbeat_at;
	/* Of a link for starts. */
	uint64_t agent_address;
	uint64_t runs_sent, runs_received, runs_acked;
	rp_ms unacked_since; /* 0: all that were sent are acknowledged */
};

#define POOL_FRAME_MAX (1u << 20) /* bytes */
/* Of a submission; leaves room for what an owner adds when it passes it on. */
#define POOL_SUBMIT_MAX (POOL_FRAME_MAX - (1u << 16))
/* Kinds of frames, for the counters. */
#define POOL_FRAME_KINDS (POOL_FRAME__BODY_COUNT_REPLY + 1)
#define POOL_LINK_IDLE_MS                                                      \
	2000 /* without data, after which a link is closed                     \
	      */
#define POOL_STARTS_IDLE_MS 10000 /* the same for a link for starts */

int pool_links_init(struct pool *p);
/* Handles the answers and progress that have arrived, and nothing else. */
void pool_link_read_answers(struct pool_link *l);
/* Starts to connect and queues a hello. Returns NULL on failure. */
struct pool_link *pool_link_dial(struct pool *p, const char *vm,
				 const char *address,
				 enum pool_link_purpose purpose);
void pool_link_send(struct pool_link *l, const PoolFrame *frame);
void pool_link_close(struct pool_link *l, const char *reason);
/* Time until queued frames are due, ms; -1: there are none. */
rp_ms pool_links_timeout(const struct pool *p);
/* Writes queued frames and frees closed links; once per loop iteration. */
void pool_links_flush(struct pool *p);

#endif
