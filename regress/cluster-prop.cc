/*
 * Property test of several entry VMs under random faults. RC_PARAMS sets the
 * seed.
 */

#include <rapidcheck.h>

#include <string>
#include <vector>

#include "net/script.h"

static void play(const char *limit, uint64_t seed,
		 const std::vector<uint32_t> &words)
{
	std::vector<net_step> steps;
	char message[256] = "";

	for (uint32_t w : words)
		steps.push_back(
			{ (uint8_t)(w >> 16), (uint8_t)(w >> 8), (uint8_t)w });
	if (net_script(seed, limit, steps.data(), steps.size(), message,
		       sizeof(message)) < 0)
		RC_FAIL(std::string(message));
}

int main()
{
	/* Each step has 24 random bits, independent of the case's size. */
	const auto script =
		rc::gen::mapcat(rc::gen::inRange<size_t>(0, 60), [](size_t n) {
			return rc::gen::container<std::vector<uint32_t>>(
				n, rc::gen::resize(rc::kNominalSize,
						   rc::gen::inRange<uint32_t>(
							   0, 1 << 24)));
		});
	bool ok = rc::check("credit: all invariants hold under faults", [&] {
		play("credit", *rc::gen::inRange<uint64_t>(1, 1 << 30),
		     *script);
	});

	ok &= rc::check("alone: all invariants but the limit hold", [&] {
		play("alone", *rc::gen::inRange<uint64_t>(1, 1 << 30), *script);
	});
	return ok ? 0 : 1;
}
