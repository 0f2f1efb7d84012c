/* Edits of the table: commits, merges, conflicts and lost answers. */

#include <criterion/criterion.h>

#include "many.h"

/* Sends an edit of one cell and runs until it is answered. */
static struct many_reply *edit_one(struct many *m, int node, rp_token token,
				   const char *id, int64_t base,
				   struct rp_cell cell)
{
	int i;

	many_edit(m, node, token, id, base, &cell, 1);
	for (i = 0; i < 2000 && !many_find_reply(m, token); i++)
		many_run(m, 10);
	return many_find_reply(m, token);
}

/* Runs until an edit's commit is in flight. */
static struct fake_call *await_commit(struct many *m)
{
	struct fake_call *c;

	for (;; many_run(m, 1))
		for (c = m->platform.calls; c; c = c->next)
			if (c->request.platform.op == RP_PLATFORM_COMMIT &&
			    str_eq(c->request.platform.rows[0].name,
				   str_of(TABLE_VERSION_ROW)))
				return c;
}

Test(edit, takes_effect_where_it_was_made_then_everywhere)
{
	struct many_reply *r;
	struct many m;
	int i;

	many_init(&m, 3, 1);
	r = edit_one(&m, 0, 1, "e1", 0, many_target_cell("target-0", 50, 4));
	cr_assert_eq(r->status.code, RP_OK);
	cr_assert_eq(r->version, 1);
	cr_assert_eq(many_target(&m, 0)->weight, 50);
	many_run(&m, 3000);
	for (i = 0; i < 3; i++) {
		cr_assert_eq(table_version(m.k[i]), 1);
		cr_assert_eq(many_target(&m, i)->weight, 50);
		cr_assert_eq(many_target(&m, i)->limit, 4);
	}
	many_finish(&m);
}

Test(edit, star_column_is_the_default_of_a_service)
{
	struct many m;

	many_init(&m, 1, 1);
	edit_one(&m, 0, 1, "e1", 0, many_target_cell("*", 7, 9));
	cr_assert_eq(many_target(&m, 0)->weight, 7);
	edit_one(&m, 0, 2, "e2", 1,
		 many_target_cell("target-0", RP_CELL_UNSET, 3));
	cr_assert_eq(many_target(&m, 0)->weight, 7);
	cr_assert_eq(many_target(&m, 0)->limit, 3);
	edit_one(&m, 0, 3, "e3", 2,
		 many_target_cell("target-0", RP_CELL_UNSET, RP_CELL_UNSET));
	cr_assert_eq(many_target(&m, 0)->limit, 9);
	many_finish(&m);
}

Test(edit, team_cells_set_weights_and_quotas)
{
	struct rp_cell c = { .kind = RP_CELL_TEAM, .weight = 30, .limit = 5 };
	struct rp_dispatch *d;
	struct many m;

	many_init(&m, 1, 1);
	strcpy(c.col, "field");
	d = dispatch_shard_of(m.k[0], str_of("desk"));
	cr_assert_eq(team_get(d, str_of("field"))->weight, RP_WEIGHT_DEFAULT);
	edit_one(&m, 0, 1, "e1", 0, c);
	cr_assert_eq(team_get(d, str_of("field"))->weight, 30);
	cr_assert_eq(team_get(d, str_of("field"))->quota, 5);
	many_finish(&m);
}

Test(edit, concurrent_edits_of_different_cells_merge)
{
	struct rp_cell a = many_target_cell("target-0", 1, 1);
	struct rp_cell b = many_target_cell("target-1", 2, 2);
	struct many m;
	int i;

	many_init(&m, 2, 2);
	many_run(&m, 100);
	many_edit(&m, 0, 1, "a", 0, &a, 1);
	many_edit(&m, 1, 2, "b", 0, &b, 1);
	many_run(&m, 4000);
	cr_assert_eq(many_find_reply(&m, 1)->status.code, RP_OK);
	cr_assert_eq(many_find_reply(&m, 2)->status.code, RP_OK);
	for (i = 0; i < 2; i++)
		cr_assert_eq(table_version(m.k[i]), 2);
	many_finish(&m);
}

Test(edit, concurrent_edits_of_the_same_cell_conflict)
{
	struct rp_cell a = many_target_cell("target-0", 1, 1);
	struct rp_cell b = many_target_cell("target-0", 2, 2);
	struct many_reply *won, *lost;
	struct many m;

	many_init(&m, 2, 3);
	many_run(&m, 100);
	many_edit(&m, 0, 1, "a", 0, &a, 1);
	many_edit(&m, 1, 2, "b", 0, &b, 1);
	many_run(&m, 4000);
	won = many_find_reply(&m, 1);
	lost = many_find_reply(&m, 2);
	if (won->status.code != RP_OK) {
		won = many_find_reply(&m, 2);
		lost = many_find_reply(&m, 1);
	}
	cr_assert_eq(won->status.code, RP_OK);
	cr_assert_eq(lost->status.code, RP_E_CONFLICT);
	cr_assert_eq(lost->nconflicts, 1);
	cr_assert_eq(lost->conflict.weight, won->token == 1 ? 1 : 2);
	many_finish(&m);
}

Test(edit, old_base_version_merges_if_its_cells_did_not_change)
{
	struct many m;

	many_init(&m, 1, 4);
	edit_one(&m, 0, 1, "e1", 0, many_target_cell("target-0", 1, 1));
	edit_one(&m, 0, 2, "e2", 1, many_target_cell("target-1", 1, 1));
	cr_assert_eq(edit_one(&m, 0, 3, "e3", 1,
			      many_target_cell("target-0", 5, 5))
			     ->status.code,
		     RP_OK);
	cr_assert_eq(edit_one(&m, 0, 4, "e4", 1,
			      many_target_cell("target-0", 6, 6))
			     ->status.code,
		     RP_E_CONFLICT);
	many_finish(&m);
}

Test(edit, resent_with_the_same_id_is_applied_once)
{
	struct many m;

	many_init(&m, 2, 5);
	edit_one(&m, 0, 1, "e1", 0, many_target_cell("target-0", 1, 1));
	edit_one(&m, 0, 2, "e2", 1, many_target_cell("target-0", 9, 9));
	cr_assert_eq(edit_one(&m, 1, 3, "e1", 0,
			      many_target_cell("target-0", 1, 1))
			     ->version,
		     1);
	many_run(&m, 3000);
	cr_assert_eq(many_target(&m, 1)->weight, 9);
	cr_assert_eq(table_version(m.k[1]), 2);
	many_finish(&m);
}

Test(edit, lost_commit_answer_is_settled_by_the_edit_id)
{
	struct rp_cell c = many_target_cell("target-0", 50, 4);
	struct fake_call *call;
	struct many_reply *r;
	struct many m;

	many_init(&m, 2, 6);
	many_edit(&m, 0, 1, "e1", 0, &c, 1);
	call = await_commit(&m);
	call->answer_lost = 1;
	call->answer_at = m.now + 2000;
	many_run(&m, 8000);
	r = many_find_reply(&m, 1);
	cr_assert_eq(r->status.code, RP_OK);
	cr_assert_eq(r->version, 1);
	cr_assert_eq(table_version(m.k[1]), 1);
	cr_assert_eq(
		strncmp(fake_find(&m.platform, str_of(TABLE_VERSION_ROW))->value,
			"1\te1\t", 5),
		0);
	cr_assert_null(fake_find(&m.platform, str_of(TABLE_EDIT_PREFIX "0000000"
								       "0000000"
								       "00000"
								       "2")));
	many_finish(&m);
}

Test(edit, is_refused_unchanged_during_a_platform_outage)
{
	struct many_reply *r;
	struct many m;

	many_init(&m, 1, 7);
	m.platform.outage = 1;
	r = edit_one(&m, 0, 1, "e1", 0, many_target_cell("target-0", 1, 1));
	cr_assert_eq(r->status.code, RP_E_PLATFORM);
	cr_assert_not_null(strstr(r->status.message, "changed nothing"));
	m.platform.outage = 0;
	many_run(&m, 10000);
	cr_assert_eq(table_version(m.k[0]), 0);
	many_finish(&m);
}

Test(edit, with_unknown_outcome_is_reported_as_unsettled)
{
	struct rp_cell c = many_target_cell("target-0", 50, 4);
	struct fake_call *call;
	struct many_reply *r;
	struct many m;

	many_init(&m, 1, 8);
	many_edit(&m, 0, 1, "e1", 0, &c, 1);
	call = await_commit(&m);
	call->answer_lost = 1;
	call->effect_at = m.now + 30000; /* long after the operation gave up */
	call->answer_at = m.now + 2000;
	many_run(&m, 1);
	m.platform.silent = 1;
	many_run(&m, 14000);
	r = many_find_reply(&m, 1);
	cr_assert_eq(r->status.code, RP_E_PLATFORM);
	cr_assert_eq(strncmp(r->status.message, "unsettled", 9), 0);
	m.platform.silent = 0;
	many_run(&m, 30000); /* the late commit takes effect */
	cr_assert_eq(table_version(m.k[0]), 1);
	r = edit_one(&m, 0, 2, "e1", 0, c);
	cr_assert_eq(r->status.code, RP_OK);
	cr_assert_eq(r->version, 1);
	many_finish(&m);
}

Test(edit, invalid_cells_and_ids_are_refused)
{
	struct rp_cell duplicates[] = { many_target_cell("a", 1, 1),
					many_target_cell("a", 2, 2) };
	struct many m;

	many_init(&m, 1, 9);
	cr_assert_eq(
		edit_one(&m, 0, 1, "e1", 0,
			 many_target_cell("target-0", RP_WEIGHT_MAX + 1, 1))
			->status.code,
		RP_E_INPUT);
	cr_assert_eq(edit_one(&m, 0, 2, "e 1", 0, many_target_cell("a", 1, 1))
			     ->status.code,
		     RP_E_INPUT);
	cr_assert_eq(edit_one(&m, 0, 3, "e1", 0, many_target_cell("a/b", 1, 1))
			     ->status.code,
		     RP_E_INPUT);
	many_edit(&m, 0, 4, "e1", 0, duplicates, 2);
	cr_assert_eq(many_find_reply(&m, 4)->status.code, RP_E_INPUT);
	cr_assert_eq(edit_one(&m, 0, 5, "e1", 3, many_target_cell("a", 1, 1))
			     ->status.code,
		     RP_E_INPUT);
	many_finish(&m);
}

/* Writer that collects the output of rp_kernel_table(). */
struct table_text {
	struct rp_writer w; /* first */
	char data[8192];
	size_t len;
};

static void table_append(struct rp_writer *w, const char *data, size_t len)
{
	struct table_text *t = (struct table_text *)w;

	cr_assert_lt(t->len + len, sizeof(t->data));
	memcpy(t->data + t->len, data, len);
	t->len += len;
}

/* Whether the node's table as JSON contains the text. */
static int table_contains(struct many *m, int node, const char *text)
{
	struct table_text t = { .w.write = table_append };

	rp_kernel_table(m->k[node], m->now, &t.w);
	return strstr(t.data, text) != NULL;
}

/* Stores the draft "monday", or drops it. */
static void send_draft(struct many *m, int node, rp_token token, int drop)
{
	struct rp_cell c = many_target_cell("target-0", 11, 2);
	struct rp_event ev = { .type = RP_EVENT_DRAFT, .token = token };

	ev.draft.name = "monday";
	ev.draft.drop = drop;
	ev.draft.edit_id = "monday-1";
	ev.draft.cells = &c;
	ev.draft.ncells = 1;
	many_event(m, node, &ev);
}

Test(draft, is_not_in_force_and_is_shown_at_every_entry_vm)
{
	struct many m;

	many_init(&m, 2, 10);
	send_draft(&m, 0, 1, 0);
	many_run(&m, 4000);
	cr_assert_eq(many_find_reply(&m, 1)->status.code, RP_OK);
	cr_assert(table_contains(&m, 1, "\"name\":\"monday\""));
	cr_assert(table_contains(&m, 1, "\"edit_id\":\"monday-1\""));
	cr_assert(table_contains(&m, 1, "\"cells\":[],\"drafts\""));
	cr_assert_eq(many_target(&m, 0)->weight, RP_WEIGHT_DEFAULT);
	send_draft(&m, 1, 2, 1);
	many_run(&m, 4000);
	cr_assert_eq(many_find_reply(&m, 2)->status.code, RP_OK);
	cr_assert(table_contains(&m, 0, "\"drafts\":[]"));
	many_finish(&m);
}
