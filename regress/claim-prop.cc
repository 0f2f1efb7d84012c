// Property: under any faults, a submission with a caller's own key starts at
// most once and only when its claim is known, and every answer is complete and
// correct.

#include <rapidcheck.h>

#include <string>
#include <vector>

#include "script/claim-script.h"

int main()
{
	bool ok = rc::check("callers' own keys over three entry VMs", [] {
		auto bytes = *rc::gen::container<std::vector<uint32_t>>(
			rc::gen::resize(rc::kNominalSize,
					rc::gen::arbitrary<uint32_t>()));
		auto seed = *rc::gen::inRange<uint64_t>(1, 1000000);
		std::vector<claim_step> steps;
		char message[200] = "";

		for (uint32_t b : bytes)
			steps.push_back({ uint8_t(b), uint8_t(b >> 8),
					  uint8_t(b >> 16), uint8_t(b >> 24) });
		int rc = claim_script_run(steps.data(), steps.size(), seed,
					  message, sizeof(message));
		if (rc)
			RC_FAIL(std::string(message));
	});

	return ok ? 0 : 1;
}
