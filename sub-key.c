/*
 * Issued submission keys. A key names the incarnation that issued it, and
 * only that incarnation starts its submission, so that a start needs no
 * agreement between entry VMs.
 *
 * Format: i.INCARNATION.EXPIRY.COUNTER.CHECK.VM, numbers in hexadecimal.
 */

#include "rosemary-int.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define XXH_STATIC_LINKING_ONLY
#include <xxhash.h>

#define KEYS_MAX 1000 /* keys in one call */

/*
 * Returns the check word of a key that this incarnation issued.
 * It depends on the seed, so that a mistyped or invented key is
 * not taken for an issued one.
 */
static uint32_t key_check(const struct rp_kernel *k, const struct rp_key *key)
{
	uint64_t parts[] = { key->incarnation, (uint64_t)key->expires_at,
			     key->counter };

	return (uint32_t)XXH3_64bits_withSeed(parts, sizeof(parts),
					      k->opt.seed ^ k->opt.incarnation);
}

void key_format(const struct rp_kernel *k, const struct rp_key *key,
		char out[RP_KEY_MAX])
{
	snprintf(out, RP_KEY_MAX,
		 "i.%" PRIx64 ".%" PRIx64 ".%" PRIx64 ".%08" PRIx32 ".%s",
		 key->incarnation, (uint64_t)key->expires_at, key->counter,
		 key_check(k, key), key->vm);
}

int key_parse(struct rp_str text, struct rp_key *key)
{
	char buf[RP_KEY_MAX];
	uint64_t expires;
	uint32_t check;
	int at = 0;

	if (text.len >= sizeof(buf) || memchr(text.ptr, '\0', text.len))
		return 0;
	str_copy(buf, sizeof(buf), text);
	if (sscanf(buf, "i.%" SCNx64 ".%" SCNx64 ".%" SCNx64 ".%" SCNx32 ".%n",
		   &key->incarnation, &expires, &key->counter, &check,
		   &at) != 4 ||
	    !at || !buf[at] || strlen(buf + at) >= RP_NAME_MAX)
		return 0;
	key->expires_at = (rp_ms)expires;
	str_copy(key->vm, sizeof(key->vm), str_of(buf + at));
	return 1;
}

int key_issued_here(const struct rp_kernel *k, struct rp_str text,
		    const struct rp_key *key)
{
	char expect[RP_KEY_MAX];

	if (key->incarnation != k->opt.incarnation ||
	    strcmp(key->vm, k->opt.vm_name))
		return 0;
	key_format(k, key, expect);
	return str_eq(text, str_of(expect));
}

void key_issue(struct rp_kernel *k, rp_ms now, rp_token token, int count,
	       struct rp_actions *acts)
{
	struct rp_action *a = action_add(acts, RP_ACTION_KEYS);
	struct rp_key key = { .incarnation = k->opt.incarnation,
			      .expires_at = now + k->opt.key_lifetime };
	int i;

	a->token = token;
	if (count < 1 || count > KEYS_MAX) {
		rp_status_set(&a->keys.status, RP_E_INPUT, RP_STEP_PARSE, "",
			      "count: must be 1 to %d", KEYS_MAX);
		return;
	}
	if (atomic_load(&k->draining)) {
		rp_status_set(&a->keys.status, RP_E_DRAINING, RP_STEP_STOP,
			      k->opt.vm_name, "this entry VM is stopping");
		return;
	}
	str_copy(key.vm, sizeof(key.vm), str_of(k->opt.vm_name));
	a->keys.count = count;
	a->keys.expires_in = k->opt.key_lifetime;
	a->keys.keys = kernel_alloc((size_t)count * RP_KEY_MAX);
	for (i = 0; i < count; i++) {
		key.counter = atomic_fetch_add(&k->next_key, 1) + 1;
		key_format(k, &key, a->keys.keys[i]);
	}
}
