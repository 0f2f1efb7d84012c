#ifndef NET_SCRIPT_H
#define NET_SCRIPT_H

/*
 * Runs of the fake network with random faults. Plain C types only, so that
 * a C++ test can include it.
 */

#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

struct net_step {
	uint8_t op, vm, arg;
};

/*
 * Plays the steps, heals everything, and checks what must always hold.
 * Returns 0, or -1 with the reason in why.
 */
int net_script(uint64_t seed, const char *limit, const struct net_step *steps,
	       size_t nsteps, char *why, size_t size);

#ifdef __cplusplus
}
#endif

#endif
