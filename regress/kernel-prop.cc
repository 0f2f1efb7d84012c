/*
 * Property tests of the kernel. Generated scripts of events run against it
 * through its public header, and a model that records every start checks the
 * invariants. The seed is fixed; set RC_PARAMS for another seed, or for more
 * or longer scripts.
 */

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <rapidcheck.h>

#include "prop-model.h"

namespace
{

const char *const default_params = "seed=7 max_success=150 max_size=150";

struct Policies {
	const char *route, *queue, *admit, *health, *retry;
};

rc::Gen<Op> genOp()
{
	return rc::gen::construct<Op>(
		rc::gen::weightedElement<int>({ { 5, OP_SUBMIT },
						{ 14, OP_REPLY },
						{ 2, OP_LATE_REPLY },
						{ 8, OP_LOOKUP },
						{ 10, OP_TICK },
						{ 2, OP_CANCEL },
						{ 1, OP_RESUBMIT },
						{ 1, OP_QUERY },
						{ 1, OP_LIST } }),
		rc::gen::inRange(0, 1 << 20), rc::gen::inRange(0, 1 << 20));
}

bool runScripts(const char *what, const Policies &p, int abilities)
{
	std::string name =
		std::string(what) + ", abilities " + std::to_string(abilities);

	return rc::check(name, [&]() {
		auto script = *rc::gen::container<std::vector<Op>>(genOp());
		Model m(p.route, p.queue, p.admit, p.health, p.retry,
			abilities);

		for (const Op &op : script)
			m.run(op);
		m.end();
		if (!m.fault.empty())
			RC_FAIL(m.fault);
	});
}

} // namespace

int main()
{
	const Policies plain = { "least", "fifo", "bounded", "none", "none" };
	const Policies retry = { "random", "fifo", "bounded", "none",
				 "budget" };
	const Policies adaptive = { "earliest", "fair", "deadline", "peers",
				    "budget" };
	bool ok = true;

	setenv("RC_PARAMS", default_params, 0);
	for (int abilities = 0; abilities < 4; abilities++) {
		ok &= runScripts("baselines", plain, abilities);
		ok &= runScripts("retries", retry, abilities);
		ok &= runScripts("adaptive", adaptive, abilities);
	}
	return ok ? 0 : 1;
}
