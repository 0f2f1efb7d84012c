/* Messages from other entry VMs, taken apart. */

#include "rosemary-int.h"

void peer_message(struct rp_kernel *k, rp_ms now, const void *data, size_t len,
		  struct rp_actions *acts)
{
	RpEnvelope *env = rp_envelope__unpack(NULL, len, data);

	(void)acts;
	if (!env)
		return;
	trace_witness(k, now, env->hlc);
	rp_envelope__free_unpacked(env, NULL);
}
