#ifndef NET_SCRIPT_H
#define NET_SCRIPT_H

/*
 * Scripts of random calls and faults in the fake network. Uses plain C types
 * only, so that a C++ test can include it.
 */

#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* One step: op selects the action, vm and arg are its arguments. */
struct net_step {
	uint8_t op, vm, arg;
};

/*
 * Plays the steps, removes all faults and checks the invariants. Returns 0, or
 * -1 with the error text in message.
 */
int net_script(uint64_t seed, const char *limit, const struct net_step *steps,
	       size_t nsteps, char *message, size_t size);

#ifdef __cplusplus
}
#endif

#endif
