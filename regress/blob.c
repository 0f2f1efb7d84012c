/* Construction of submissions and their digests. */

#include <criterion/criterion.h>

#include "rosemary.h"

static struct rp_str str(const char *s)
{
	struct rp_str r = { s, 0 };

	while (s[r.len])
		r.len++;
	return r;
}

static struct rp_submission *build(const char *id, const char *payload)
{
	struct rp_task_spec task = { str(id), str(payload) };
	struct rp_submission_spec spec = {
		.key = str("k"),
		.service = str("deadline-desk"),
		.team = str("a"),
		.ntasks = 1,
		.tasks = &task,
	};

	return rp_submission_new(&spec);
}

Test(blob, digest_depends_on_field_boundaries)
{
	struct rp_submission *a = build("ab", "c");
	struct rp_submission *b = build("a", "bc");
	struct rp_submission *c = build("ab", "c");

	cr_assert_neq(a->digest, b->digest);
	cr_assert_eq(a->digest, c->digest);
	rp_submission_unref(a);
	rp_submission_unref(b);
	rp_submission_unref(c);
}
