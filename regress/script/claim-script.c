/* Runs scripts of claims and checks the invariants. */

#include "claim-script.h"

#include "../many.h"

#define NODES 3
#define KEYS 5
#define TASKS 2
#define TOKENS_MAX 4096
#define SETTLE_MS 60000

enum step_op {
	STEP_SUBMIT,
	STEP_SUBMIT_AGAIN, /* makes submissions the most frequent step */
	STEP_SUBMIT_OTHER_BODY,
	STEP_CANCEL,
	STEP_QUERY,
	STEP_REPLY,
	STEP_REPLY_NEWEST,
	STEP_WAIT,
	STEP_WAIT_LONG,
	STEP_OUTAGE,
	STEP_SILENT,
	STEP_LOST,
	STEP_LATE,
	STEP_DELAY,
	STEP_CUT,
	STEP_RESTART,
	STEPS,
};

/* A call by a caller. */
struct token {
	int node, key;
	uint64_t incarnation;
	int answers; /* number of answers so far */
};

struct script {
	struct many m;
	struct token tokens[TOKENS_MAX];
	size_t ntokens;
	size_t replies_seen, starts_seen; /* checked so far */
	int ended[TOKENS_MAX];		  /* whether start i has its reply */
	int starts[KEYS][TASKS];	  /* number of starts */
	int not_run[KEYS];  /* whether the key was answered as not run */
	int complete[KEYS]; /* whether the key was answered as complete */
	char *message;	    /* description of the first failure */
	size_t size;
	int failed;
};

static const char *const key_names[KEYS] = { "a", "b/x", "c c", "d", "e%" };

/* Records a violated invariant; the first one is reported. */
static void fail(struct script *s, const char *what, int key)
{
	if (!s->failed)
		snprintf(s->message, s->size, "%s: key %s at %lld ms", what,
			 key_names[key], (long long)s->m.now);
	s->failed = 1;
}

static int key_of(const char *name)
{
	int i;

	for (i = 0; i < KEYS; i++)
		if (!strcmp(key_names[i], name))
			return i;
	abort();
}

/* Checks that the row of the key names the entry VM that starts it. */
static void check_row(struct script *s, const struct many_start *start)
{
	char name[CLAIM_ROW_NAME_MAX], vm[RP_NAME_MAX];
	const struct fake_row *stored;
	struct rp_claim_row row;

	claim_row_name(str_of(start->key), name);
	stored = fake_find(&s->m.platform, str_of(name));
	snprintf(vm, sizeof(vm), "entry-%d", start->node);
	if (!stored || !claim_row_parse(str_of(stored->value), &row) ||
	    strcmp(row.vm, vm) != 0 || row.incarnation != start->incarnation)
		fail(s, "started without a claim", key_of(start->key));
}

static void check_start(struct script *s, const struct many_start *start)
{
	int key = key_of(start->key);

	check_row(s, start);
	if (++s->starts[key][start->task] > 1)
		fail(s, "started twice", key);
	if (s->not_run[key])
		fail(s, "started after \"not run\"", key);
}

static void check_reply(struct script *s, const struct many_reply *r)
{
	struct token *t = &s->tokens[r->token - 1];
	int started = s->starts[t->key][0] || s->starts[t->key][1];

	if (++t->answers > 1)
		fail(s, "answered twice", t->key);
	switch (r->state) {
	case RP_NOT_RUN:
		s->not_run[t->key] = 1;
		if (started)
			fail(s, "\"not run\" after a start", t->key);
		break;
	case RP_COMPLETE:
		s->complete[t->key] = 1;
		if (r->nresults != TASKS || !s->starts[t->key][0] ||
		    !s->starts[t->key][1])
			fail(s, "incomplete answer", t->key);
		break;
	case RP_FAILED:
		if (started && !r->may_have_run)
			fail(s, "answer denies that it may have run", t->key);
		break;
	default:
		break;
	}
	if (r->state != RP_COMPLETE && r->nresults)
		fail(s, "results in an answer that is not complete", t->key);
}

/* Checks the starts and answers since the last call. */
static void check_progress(struct script *s)
{
	while (s->starts_seen < s->m.nstarts)
		check_start(s, &s->m.starts[s->starts_seen++]);
	while (s->replies_seen < s->m.nreplies)
		check_reply(s, &s->m.replies[s->replies_seen++]);
}

/* Returns a new token, or 0 when there are too many. */
static rp_token token_new(struct script *s, int node, int key)
{
	struct token *t = &s->tokens[s->ntokens];

	if (s->ntokens == TOKENS_MAX)
		return 0;
	t->node = node;
	t->key = key;
	t->incarnation = s->m.opt[node].incarnation;
	return ++s->ntokens;
}

static void submit(struct script *s, const struct claim_step *step,
		   const char *payload)
{
	static const rp_ms timeouts[] = { 50, 500, 5000, 50000 };
	struct rp_task_spec tasks[TASKS] = {
		{ str_of("1"), str_of(payload) },
		{ str_of("2"), str_of(payload) },
	};
	struct rp_submission_spec spec = {
		.key = str_of(key_names[step->key]),
		.key_is_callers = 1,
		.service = str_of("desk"),
		.team = str_of("team"),
		.timeout = timeouts[step->arg % 4],
		.ntasks = TASKS,
		.tasks = tasks,
	};
	struct rp_event ev = { .type = RP_EVENT_SUBMIT };

	ev.token = token_new(s, step->node, step->key);
	if (!ev.token)
		return;
	ev.submit.sub = rp_submission_new(&spec);
	ev.submit.wait = step->arg / 4 % 2;
	many_event(&s->m, step->node, &ev);
	rp_submission_unref(ev.submit.sub);
}

static void call(struct script *s, const struct claim_step *step,
		 enum rp_event_type type)
{
	rp_token token = token_new(s, step->node, step->key);

	if (token)
		many_query_or_cancel(&s->m, step->node, token, type,
				     key_names[step->key], step->arg % 2);
}

/* Replies to the oldest or newest start that has no reply yet. */
static void reply(struct script *s, int newest, enum rp_start_outcome outcome)
{
	size_t i, n = s->m.nstarts;

	for (i = 0; i < n; i++) {
		size_t at = newest ? n - 1 - i : i;

		if (s->ended[at])
			continue;
		s->ended[at] = 1;
		many_end_send(&s->m, at, outcome);
		return;
	}
}

static void restart(struct script *s, int node)
{
	many_kill(&s->m, node);
	many_start_kernel(&s->m, node, s->m.opt[node].incarnation + 1);
}

static void run_step(struct script *s, const struct claim_step *step)
{
	static const enum rp_start_outcome outcomes[] = {
		RP_START_DONE, RP_START_DONE, RP_START_FAILED, RP_START_UNKNOWN
	};
	struct fake_platform *p = &s->m.platform;

	switch (step->op) {
	case STEP_SUBMIT:
	case STEP_SUBMIT_AGAIN:
		submit(s, step, "x");
		break;
	case STEP_SUBMIT_OTHER_BODY:
		submit(s, step, step->arg % 3 ? "x" : "y");
		break;
	case STEP_CANCEL:
		call(s, step, RP_EVENT_CANCEL);
		break;
	case STEP_QUERY:
		call(s, step, RP_EVENT_QUERY);
		break;
	case STEP_REPLY:
	case STEP_REPLY_NEWEST:
		reply(s, step->op == STEP_REPLY_NEWEST,
		      outcomes[step->arg % 4]);
		break;
	case STEP_WAIT:
		many_run(&s->m, 1 + step->arg % 50);
		break;
	case STEP_WAIT_LONG:
		many_run(&s->m, 1 + step->arg * 20);
		break;
	case STEP_OUTAGE:
		p->outage = step->arg % 2;
		break;
	case STEP_SILENT:
		p->silent = step->arg % 2;
		break;
	case STEP_LOST:
		p->lost_answer_percent = step->arg % 3 * 40;
		break;
	case STEP_LATE:
		p->late_effect_percent = step->arg % 3 * 40;
		break;
	case STEP_DELAY:
		p->delay = step->arg % 100;
		p->delay_jitter = step->arg;
		break;
	case STEP_CUT:
		s->m.partitioned = step->arg % 2;
		break;
	case STEP_RESTART:
		restart(s, step->node);
		break;
	default:
		break;
	}
}

/* Ends all faults, replies to all starts and lets all deadlines pass. */
static void settle(struct script *s)
{
	struct fake_platform *p = &s->m.platform;
	size_t i;
	int n;

	p->outage = p->silent = p->lost_answer_percent =
		p->late_effect_percent = 0;
	p->delay = 2;
	p->delay_jitter = 0;
	s->m.partitioned = 0;
	for (n = 0; n < 4; n++) {
		many_run(&s->m, SETTLE_MS / 4);
		for (i = 0; i < s->m.nstarts; i++)
			reply(s, 0, RP_START_DONE);
		check_progress(s);
	}
	many_run(&s->m, 1000);
	check_progress(s);
	for (i = 0; i < s->ntokens; i++)
		if (!s->tokens[i].answers &&
		    s->tokens[i].incarnation ==
			    s->m.opt[s->tokens[i].node].incarnation)
			fail(s, "never answered", s->tokens[i].key);
	for (n = 0; n < KEYS; n++)
		if (s->not_run[n] && s->complete[n])
			fail(s, "complete and \"not run\"", n);
}

int claim_script_run(const struct claim_step *steps, size_t n, uint64_t seed,
		     char *message, size_t size)
{
	struct script *s = calloc(1, sizeof(*s));
	int failed;
	size_t i;

	s->message = message;
	s->size = size;
	many_init(&s->m, NODES, seed);
	many_run(&s->m, 3000);
	for (i = 0; i < n && !s->failed; i++) {
		struct claim_step step = steps[i];

		step.op %= STEPS;
		step.node %= NODES;
		step.key %= KEYS;
		run_step(s, &step);
		check_progress(s);
	}
	if (!s->failed)
		settle(s);
	failed = s->failed;
	many_finish(&s->m);
	free(s);
	return failed ? -1 : 0;
}
