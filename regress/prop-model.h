#ifndef REGRESS_PROP_MODEL_H
#define REGRESS_PROP_MODEL_H

/* Model of the kernel's environment, with the checks of the property tests. */

#include "rosemary.h"

enum OpKind {
	OP_SUBMIT,
	OP_REPLY,
	OP_LATE_REPLY, /* late or duplicate */
	OP_LOOKUP,
	OP_TICK,
	OP_CANCEL,
	OP_RESUBMIT,
	OP_QUERY,
	OP_LIST,
};

/* One step of a script; a and b select among the choices at that point. */
struct Op {
	int kind, a, b;
};

inline std::ostream &operator<<(std::ostream &os, const Op &op)
{
	static const char *const names[] = { "submit",	 "reply", "late-reply",
					     "lookup",	 "tick",  "cancel",
					     "resubmit", "query", "list" };

	return os << names[op.kind] << "(" << op.a << "," << op.b << ")";
}

/* The true outcome of a start at its target; it never changes once set. */
enum Outcome { OUTCOME_OPEN, OUTCOME_RAN, OUTCOME_NOT_RUN };

struct Start {
	uint64_t id;
	std::string key, target, task_id;
	size_t task;
	rp_ms timeout_at;
	Outcome outcome = OUTCOME_OPEN;
	bool reported = false;	     /* the kernel has a final outcome */
	bool holds_slot = true;	     /* occupies a slot of the target */
	bool lookup_pending = false; /* a lookup or void has no answer yet */
	bool voidable = false;	     /* the pending lookup is a void */
	bool failed = false;	     /* OUTCOME_RAN: the task failed */
};

struct Job {
	std::string key;
	rp_submission *sub;
	rp_ms deadline;
	bool idempotent;
	bool answered = false;
	rp_state state = RP_RUNNING;
	std::set<rp_token> waiting; /* calls without an answer */
};

struct Target {
	std::string name;
	int slots;
	bool listed = true, leaving = false;
};

#define NTARGETS 4
#define NTASKS_MAX 6

class Model
{
      public:
	std::string fault;

	Model(const char *route, const char *queue, const char *admit,
	      const char *health, const char *retry, int abilities)
	    : abilities(abilities)
	{
		rp_status st;

		for (int i = 0; i < NTARGETS; i++)
			targets.push_back({ "t" + std::to_string(i), 1 + i });
		rp_options_init(&opt);
		snprintf(opt.route, RP_NAME_MAX, "%s", route);
		snprintf(opt.queue, RP_NAME_MAX, "%s", queue);
		snprintf(opt.admit, RP_NAME_MAX, "%s", admit);
		snprintf(opt.health, RP_NAME_MAX, "%s", health);
		snprintf(opt.retry, RP_NAME_MAX, "%s", retry);
		snprintf(opt.limit, RP_NAME_MAX, "alone");
		opt.retry_percent = 50;
		opt.silence_limit = 300;
		opt.trace_events = 64;
		opt.abort_on_violation = 1;
		opt.max_timeout = 20000;
		opt.list_poll = 50;
		listVms();
		opt.seeds = vms.data();
		opt.nseeds = vms.size();
		kernel = (rp_kernel *)calloc(1, rp_kernel_size());
		rp_actions_init(&acts);
		if (rp_kernel_init(kernel, &opt, now, &st) != RP_OK)
			fault = st.message;
	}

	~Model()
	{
		for (Job &j : jobs)
			rp_submission_unref(j.sub);
		rp_actions_finish(&acts);
		rp_kernel_finish(kernel);
		free(kernel);
	}

	void run(const Op &op)
	{
		if (!fault.empty())
			return;
		switch (op.kind) {
		case OP_SUBMIT:
			submit(op.a, op.b);
			break;
		case OP_REPLY:
			reply(op.a, op.b, true);
			break;
		case OP_LATE_REPLY:
			reply(op.a, op.b, false);
			break;
		case OP_LOOKUP:
			lookup(op.a, op.b);
			break;
		case OP_TICK:
			tick(op.a % 4 ? op.b % 60 : op.b % 1500);
			break;
		case OP_CANCEL:
			cancel(op.a);
			break;
		case OP_RESUBMIT:
			resubmit(op.a);
			break;
		case OP_QUERY:
			query(op.a);
			break;
		case OP_LIST:
			changeList(op.a, op.b);
			break;
		}
	}

	/*
	 * Lets all deadlines pass, then checks that every call has its answer
	 * and that no task is queued or in flight.
	 */
	void end()
	{
		for (int i = 0; i < 60 && fault.empty(); i++)
			tick(500);
		if (!fault.empty())
			return;
		for (const Job &j : jobs) {
			expect(j.answered, "a job was never answered");
			expect(j.waiting.empty(), "a caller was never "
						  "answered");
		}
		checkMetrics();
	}

      private:
	rp_kernel *kernel;
	rp_options opt;
	rp_actions acts;
	rp_ms now = 1000;
	int abilities; /* bit 0: targets can look up, bit 1: void */
	rp_token next_token = 1;
	std::vector<Target> targets;
	std::vector<rp_vm> vms;
	std::vector<Job> jobs;
	std::vector<Start> starts;
	uint64_t list_request = 0;
	rp_ms list_request_ends = 0;
	std::map<rp_token, size_t> token_jobs;
	std::set<std::string> voided_ids;

	struct Text {
		rp_writer w;
		std::string text;
	};

	void expect(bool ok, const std::string &what)
	{
		if (!ok && fault.empty())
			fault = what;
	}

	void listVms()
	{
		vms.clear();
		for (const Target &t : targets) {
			rp_vm vm = {};

			if (!t.listed)
				continue;
			vm.kind = RP_VM_TARGET;
			snprintf(vm.name, sizeof(vm.name), "%s",
				 t.name.c_str());
			snprintf(vm.address, sizeof(vm.address), "127.0.0.1:9");
			snprintf(vm.service, sizeof(vm.service), "desk");
			vm.slots = t.slots;
			vm.leaving = t.leaving;
			vm.can_lookup = abilities & 1;
			vm.can_void = abilities >> 1 & 1;
			vms.push_back(vm);
		}
	}

	/* Delivers an event and checks the actions that it returns. */
	void deliver(const rp_event &ev)
	{
		rp_actions_clear(&acts);
		rp_kernel_event(kernel, now, &ev, &acts);
		for (size_t i = 0; i < acts.len; i++)
			checkAction(acts.list[i]);
	}

	void checkAction(const rp_action &a)
	{
		switch (a.type) {
		case RP_ACTION_START:
			checkStart(a);
			break;
		case RP_ACTION_LOOKUP:
		case RP_ACTION_VOID:
			checkLookup(a);
			break;
		case RP_ACTION_STOP:
			checkStop(a);
			break;
		case RP_ACTION_ANSWER:
			checkAnswer(a.token, a.answer.answer);
			break;
		case RP_ACTION_PLATFORM:
			if (a.platform.op != RP_PLATFORM_LIST)
				break;
			list_request = a.platform.ask_id;
			list_request_ends = now + a.platform.timeout;
			break;
		default:
			break;
		}
	}

	Job *findJob(const rp_submission *sub)
	{
		for (Job &j : jobs)
			if (j.key == std::string(sub->key.ptr, sub->key.len))
				return &j;
		return nullptr;
	}

	Target *findTarget(const std::string &name)
	{
		for (Target &t : targets)
			if (t.name == name)
				return &t;
		return nullptr;
	}

	int slotsHeld(const std::string &target)
	{
		int n = 0;

		for (const Start &s : starts)
			n += s.holds_slot && s.target == target &&
			     now < s.timeout_at;
		return n;
	}

	void checkStart(const rp_action &a)
	{
		Job *j = findJob(a.start.sub);
		Target *t = findTarget(a.start.target);
		Start s;

		if (!j || !t) {
			expect(false, "a start of an unknown job or target");
			return;
		}
		expect(!j->answered, "a start after the answer");
		expect(now < j->deadline, "a start at or past the deadline");
		expect(t->listed && !t->leaving, "a start to an unlisted or "
						 "leaving target");
		expect(slotsHeld(t->name) < t->slots, "a start over the limit");
		for (const Start &o : starts)
			if (!j->idempotent && o.key == j->key &&
			    o.task == a.start.task)
				expect(o.outcome == OUTCOME_NOT_RUN &&
					       o.reported,
				       "a second start of a possible run");
		expect(!voided_ids.count(a.start.task_id), "a start under a "
							   "voided id");
		for (const Start &o : starts)
			if (o.task_id == a.start.task_id)
				expect(o.outcome == OUTCOME_NOT_RUN &&
					       o.reported,
				       "a start under an id in use");
		s.id = a.start.start_id;
		s.key = j->key;
		s.target = t->name;
		s.task = a.start.task;
		s.task_id = a.start.task_id;
		s.timeout_at = now + a.start.timeout;
		expect(s.timeout_at <= j->deadline, "a run past the deadline");
		starts.push_back(s);
	}

	Start *findStart(uint64_t id)
	{
		for (Start &s : starts)
			if (s.id == id)
				return &s;
		return nullptr;
	}

	void checkLookup(const rp_action &a)
	{
		Start *s = findStart(a.start.start_id);

		if (!s) {
			expect(false, "a lookup of an unknown start");
			return;
		}
		expect(!s->reported, "a lookup of a known outcome");
		expect(a.type == RP_ACTION_VOID ? abilities & 2 : abilities & 1,
		       "a lookup that the target does not support");
		s->lookup_pending = true;
		s->voidable = a.type == RP_ACTION_VOID;
	}

	void checkStop(const rp_action &a)
	{
		Start *s = findStart(a.start.start_id);

		expect(s && !s->reported, "a stop of an ended start");
	}

	bool mayHaveRun(const Job &j)
	{
		for (const Start &s : starts)
			if (s.key == j.key && s.outcome != OUTCOME_NOT_RUN)
				return true;
		return false;
	}

	void checkResults(const Job &j, const rp_answer *a)
	{
		expect(a->nresults == j.sub->ntasks, "a partial answer");
		for (size_t i = 0; i < a->nresults; i++) {
			std::string body(a->results[i].body->data,
					 a->results[i].body->len);

			expect(body == j.key + "/" + std::to_string(i), "a "
									"result"
									" of "
									"anothe"
									"r "
									"task");
		}
	}

	void checkFinal(Job &j, const rp_answer *a)
	{
		if (j.answered) {
			expect(a->state == j.state, "two different answers");
			return;
		}
		j.answered = true;
		j.state = a->state;
		if (a->state == RP_COMPLETE)
			checkResults(j, a);
		else
			expect(a->nresults == 0, "results in an answer that is "
						 "not complete");
		if (a->state == RP_NOT_RUN ||
		    (a->state == RP_FAILED && !a->may_have_run))
			expect(!mayHaveRun(j), "answered \"not run\" although "
					       "it may have run");
	}

	void checkAnswer(rp_token token, const rp_answer *a)
	{
		auto at = token_jobs.find(token);

		if (at == token_jobs.end()) {
			expect(false, "an answer to an unknown call");
			return;
		}
		Job &j = jobs[at->second];

		expect(j.waiting.erase(token) == 1, "a caller answered twice");
		if (a->state != RP_RUNNING && a->state != RP_REFUSED)
			checkFinal(j, a);
	}

	std::string newKey()
	{
		rp_event ev = {};

		ev.type = RP_EVENT_KEYS;
		ev.keys.count = 1;
		deliver(ev);
		return acts.list[0].keys.keys[0];
	}

	void call(size_t job, rp_event &ev)
	{
		ev.token = next_token++;
		token_jobs[ev.token] = job;
		jobs[job].waiting.insert(ev.token);
		deliver(ev);
	}

	void submit(int a, int b)
	{
		static const char *const teams[] = { "red", "blue", "green" };
		static const char *const ids[] = {
			"0", "1", "2", "3", "4", "5"
		};
		rp_task_spec tasks[NTASKS_MAX] = {};
		rp_submission_spec spec = {};
		std::string key = newKey();
		rp_event ev = {};
		Job j;

		spec.is_request = a % 3 == 0;
		spec.idempotent = spec.is_request && a % 2 == 0;
		spec.ntasks = spec.is_request ? 1 : 1 + b % NTASKS_MAX;
		for (size_t i = 0; i < spec.ntasks; i++) {
			tasks[i].id = { ids[i], 1 };
			tasks[i].payload = { "x", 1 };
		}
		spec.key = { key.data(), key.size() };
		spec.service = { "desk", 4 };
		spec.team = { teams[b % 3], strlen(teams[b % 3]) };
		spec.timeout = 20 + b % 4000;
		spec.tasks = tasks;
		j.key = key;
		j.sub = rp_submission_new(&spec);
		j.deadline = now + spec.timeout;
		j.idempotent = spec.idempotent;
		jobs.push_back(j);
		ev.type = RP_EVENT_SUBMIT;
		ev.submit.sub = j.sub;
		ev.submit.wait = 1;
		call(jobs.size() - 1, ev);
	}

	void resubmit(int a)
	{
		rp_event ev = {};

		if (jobs.empty())
			return;
		ev.type = RP_EVENT_SUBMIT;
		ev.submit.sub = jobs[a % jobs.size()].sub;
		ev.submit.wait = a & 1;
		call(a % jobs.size(), ev);
	}

	void query(int a)
	{
		rp_event ev = {};

		if (jobs.empty())
			return;
		const std::string &key = jobs[a % jobs.size()].key;

		ev.type = RP_EVENT_QUERY;
		ev.query.key = { key.data(), key.size() };
		ev.query.wait = a & 1;
		call(a % jobs.size(), ev);
	}

	void cancel(int a)
	{
		rp_event ev = {};

		if (jobs.empty())
			return;
		const std::string key = jobs[a % jobs.size()].key;

		ev.type = RP_EVENT_CANCEL;
		ev.cancel.key = { key.data(), key.size() };
		call(a % jobs.size(), ev);
	}

	/* Selects a start with or without a reported outcome, or nullptr. */
	Start *chooseStart(int a, bool open)
	{
		std::vector<size_t> at;

		for (size_t i = 0; i < starts.size(); i++)
			if (starts[i].reported != open)
				at.push_back(i);
		return at.empty() ? nullptr : &starts[at[a % at.size()]];
	}

	/* Sets the true outcome of a start, unless it is set. */
	static void settle(Start &s, Outcome outcome, int b)
	{
		if (s.outcome != OUTCOME_OPEN)
			return;
		s.outcome = outcome;
		s.failed = b % 5 == 0;
	}

	rp_blob *resultOf(const Start &s)
	{
		std::string body = s.key + "/" + std::to_string(s.task);

		return rp_blob_new(body.data(), body.size());
	}

	void reply(int a, int b, bool open)
	{
		static const rp_start_outcome not_run[] = { RP_START_BUSY,
							    RP_START_UNSENT,
							    RP_START_LEAVING };
		Start *s = chooseStart(a, open);
		rp_event ev = {};

		if (!s)
			return;
		bool active = s->holds_slot && now < s->timeout_at;

		ev.type = RP_EVENT_TARGET_REPLY;
		ev.reply.start_id = s->id;
		if (b % 8 == 0) {
			ev.reply.outcome = RP_START_UNKNOWN;
		} else {
			settle(*s, b % 8 < 3 ? OUTCOME_NOT_RUN : OUTCOME_RAN,
			       b / 8);
			if (s->outcome == OUTCOME_RAN)
				ev.reply.outcome = s->failed ? RP_START_FAILED
							     : RP_START_DONE;
			else
				ev.reply.outcome =
					not_run[b / 8 % 16 ? b % 2 : 2];
			s->reported = true;
			s->holds_slot = false;
		}
		ev.reply.body = resultOf(*s);
		/* The kernel ignores the reply to a start that has ended. */
		if (ev.reply.outcome == RP_START_LEAVING && active)
			findTarget(s->target)->leaving = true;
		deliver(ev);
		rp_blob_unref(ev.reply.body);
	}

	void lookup(int a, int b)
	{
		std::vector<size_t> at;
		rp_event ev = {};

		for (size_t i = 0; i < starts.size(); i++)
			if (starts[i].lookup_pending)
				at.push_back(i);
		if (at.empty())
			return;
		Start &s = starts[at[a % at.size()]];

		/* Sometimes the answer is delivered twice. */
		s.lookup_pending = b % 9 == 0;
		ev.type = RP_EVENT_LOOKUP_REPLY;
		ev.lookup.start_id = s.id;
		if (s.voidable && b % 2)
			settle(s, OUTCOME_NOT_RUN, 0);
		if (b % 7 == 0)
			ev.lookup.outcome = RP_LOOKUP_NONE;
		else if (s.outcome == OUTCOME_NOT_RUN && s.voidable)
			ev.lookup.outcome = RP_LOOKUP_VOIDED;
		else if (s.outcome == OUTCOME_NOT_RUN)
			ev.lookup.outcome = RP_LOOKUP_UNKNOWN;
		else if (b % 5 == 0)
			ev.lookup.outcome = RP_LOOKUP_UNKNOWN;
		else if (b % 5 == 1)
			ev.lookup.outcome = RP_LOOKUP_RUNNING;
		else
			settle(s, OUTCOME_RAN, b / 8);
		if (s.outcome == OUTCOME_RAN && b % 7 && b % 5 > 1)
			ev.lookup.outcome = s.failed ? RP_LOOKUP_FAILED
						     : RP_LOOKUP_DONE;
		if (ev.lookup.outcome == RP_LOOKUP_RUNNING)
			settle(s, OUTCOME_RAN, b / 8);
		if (ev.lookup.outcome == RP_LOOKUP_VOIDED)
			voided_ids.insert(s.task_id);
		if (ev.lookup.outcome == RP_LOOKUP_VOIDED ||
		    ev.lookup.outcome == RP_LOOKUP_DONE ||
		    ev.lookup.outcome == RP_LOOKUP_FAILED) {
			s.reported = true;
			s.holds_slot = false;
		}
		ev.lookup.body = resultOf(s);
		deliver(ev);
		rp_blob_unref(ev.lookup.body);
	}

	void tick(rp_ms span)
	{
		rp_event ev = {};

		now += span;
		ev.type = RP_EVENT_TICK;
		deliver(ev);
		for (Start &s : starts)
			if (now >= s.timeout_at)
				s.holds_slot = false;
	}

	/* Changes one target and answers the kernel's pending list request. */
	void changeList(int a, int b)
	{
		Target &t = targets[a % targets.size()];
		rp_event ev = {};

		if (now >= list_request_ends)
			return;
		if (b % 3 == 0)
			t.listed = !t.listed;
		else
			t.slots = 1 + b % 4;
		if (!t.listed)
			for (Start &s : starts)
				if (s.target == t.name)
					s.holds_slot = false;
		listVms();
		ev.type = RP_EVENT_PLATFORM_REPLY;
		ev.platform.ask_id = list_request;
		ev.platform.outcome = RP_PLATFORM_DONE;
		ev.platform.nvms = vms.size();
		ev.platform.vms = vms.data();
		list_request_ends = 0;
		deliver(ev);
	}

	static void addText(rp_writer *w, const char *data, size_t len)
	{
		((Text *)(void *)w)->text.append(data, len);
	}

	void checkMetrics()
	{
		Text t = { { addText }, "" };

		rp_kernel_metrics(kernel, &t.w);
		for (const char *zero : { "\nrosemary_queued_tasks 0\n",
					  "\nrosemary_in_flight_tasks 0\n",
					  "\nrosemary_invariant_violations_"
					  "total 0\n" })
			expect(t.text.find(zero) != std::string::npos,
			       std::string("missing at the end: ") + zero);
	}
};

#endif
