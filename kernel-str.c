/* Length-counted strings, hash tables and seeded random numbers. */

#include "rosemary-int.h"

#include <string.h>

#include <xxhash.h>

struct rp_str str_of(const char *s)
{
	struct rp_str r = { s, strlen(s) };

	return r;
}

int str_eq(struct rp_str a, struct rp_str b)
{
	return a.len == b.len && (!a.len || !memcmp(a.ptr, b.ptr, a.len));
}

void str_copy(char *to, size_t size, struct rp_str s)
{
	size_t len = s.len < size ? s.len : size - 1;

	if (len)
		memcpy(to, s.ptr, len);
	to[len] = '\0';
}

uint64_t str_hash(struct rp_str s)
{
	return XXH3_64bits(s.ptr, s.len);
}

/* Hash function of hash_new(); sets *len for a NUL-terminated key. */
static unsigned int hash_bytes(const char *key, apr_ssize_t *len)
{
	if (*len == APR_HASH_KEY_STRING)
		*len = (apr_ssize_t)strlen(key);
	return (unsigned int)XXH3_64bits(key, (size_t)*len);
}

apr_hash_t *hash_new(apr_pool_t *pool)
{
	return apr_hash_make_custom(pool, hash_bytes);
}

uint64_t random_next(uint64_t *state)
{
	uint64_t z = (*state += 0x9e3779b97f4a7c15ULL);

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
	return z ^ (z >> 31);
}

rp_ms random_jitter(uint64_t *state, rp_ms mean)
{
	rp_ms quarter = mean / 4;

	return mean - quarter +
	       (rp_ms)(random_next(state) % (uint64_t)(2 * quarter + 1));
}
