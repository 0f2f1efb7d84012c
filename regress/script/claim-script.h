#ifndef CLAIM_SCRIPT_H
#define CLAIM_SCRIPT_H

/*
 * Scripts over three entry VMs that share one platform's table: callers use
 * a few keys of their own at any of them, while the platform, the links and
 * the entry VMs fail. Used from C++, so it includes nothing of the kernel.
 */

#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* One step; each field is taken modulo what it may be. */
struct claim_step {
	uint8_t op, node, key, arg;
};

/*
 * Runs the steps, then lets all faults end. Returns 0 when every invariant
 * held, else -1 with the reason in message.
 */
int claim_script_run(const struct claim_step *steps, size_t n, uint64_t seed,
		     char *message, size_t size);

#ifdef __cplusplus
}
#endif

#endif
