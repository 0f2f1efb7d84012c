/* Names and values of claim rows. */

#include "rosemary-int.h"

#include <ctype.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

/* Claims that expire in the same interval are swept together, ms. */
#define BUCKET_MS 5000

void claim_row_name(struct rp_str key, char out[CLAIM_ROW_NAME_MAX])
{
	char *at = out + sprintf(out, "%s", CLAIM_PREFIX);
	size_t i;

	/* A key may have any bytes; other characters are escaped as %xx. */
	for (i = 0; i < key.len; i++) {
		unsigned char c = (unsigned char)key.ptr[i];

		if (isalnum(c) || c == '-' || c == '_' || c == '.')
			*at++ = (char)c;
		else
			at += sprintf(at, "%%%02x", c);
	}
	*at = '\0';
}

void claim_row_format(const struct rp_kernel *k, const struct rp_claim *c,
		      struct rp_text *t)
{
	text_printf(t, "%s\t%" PRId64 "\t%" PRId64 "\t%" PRId64 "\t%" PRId64,
		    k->opt.vm_name, (int64_t)k->opt.incarnation,
		    (int64_t)c->digest, (int64_t)c->id, c->expires_at);
}

int claim_row_parse(struct rp_str value, struct rp_claim_row *row)
{
	int64_t incarnation, digest, id;

	str_copy(row->vm, sizeof(row->vm), text_next_field(&value));
	if (!text_parse_number(text_next_field(&value), &incarnation) ||
	    !text_parse_number(text_next_field(&value), &digest) ||
	    !text_parse_number(text_next_field(&value), &id) ||
	    !text_parse_number(text_next_field(&value), &row->expires_at))
		return 0;
	row->incarnation = (uint64_t)incarnation;
	row->digest = (uint64_t)digest;
	row->id = (uint64_t)id;
	return row->vm[0] != 0;
}

int64_t claim_bucket(rp_ms expires)
{
	return expires / BUCKET_MS;
}

void claim_index_name(struct rp_kernel *k, rp_ms expires, char *out,
		      size_t size)
{
	snprintf(out, size,
		 CLAIM_INDEX_PREFIX "%012" PRId64 "/%s.%" PRIu64 ".%" PRIu64,
		 claim_bucket(expires), k->opt.vm_name, k->opt.incarnation,
		 ++k->claims.next_index);
}
