#ifndef CLAIM_SCRIPT_H
#define CLAIM_SCRIPT_H

/*
 * Scripts for three entry VMs that share one platform's table. Callers use a
 * few keys of their own at any entry VM, while the platform, the links and the
 * entry VMs fail. Included from C++, so it includes no kernel header.
 */

#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* One step; each field is reduced modulo the number of its choices. */
struct claim_step {
	uint8_t op, node, key, arg;
};

/*
 * Runs the steps, then ends all faults. Returns 0 when every invariant held,
 * or -1 with a description in message.
 */
int claim_script_run(const struct claim_step *steps, size_t n, uint64_t seed,
		     char *message, size_t size);

#ifdef __cplusplus
}
#endif

#endif
