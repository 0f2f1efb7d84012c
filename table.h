#ifndef TABLE_H
#define TABLE_H

/*
 * The operator's table. It lasts in rows of the platform's table service:
 *
 *   table/version          number of the last edit, its id, drafts' sequence
 *   table/edit/NUMBER      cells of one edit, so that nodes fetch deltas
 *   table/done/EDIT_ID     number under which the edit was accepted
 *   table/cell/KIND/ROW/COL
 *   table/draft/NAME
 *
 * Every edit and draft is one transaction guarded by table/version. Each
 * cell carries the version that last changed it; a newer one replaces an
 * older one and never the other way, whatever the order of arrival.
 */

#define TABLE_VERSION_ROW "table/version"
#define TABLE_EDIT_PREFIX "table/edit/"
#define TABLE_DONE_PREFIX "table/done/"
#define TABLE_CELL_PREFIX "table/cell/"
#define TABLE_DRAFT_PREFIX "table/draft/"

#define RP_CELL_NAME_MAX (2 * RP_NAME_MAX + 8)
#define TABLE_EDIT_NAME_MAX 40
#define TABLE_DONE_NAME_MAX (RP_NAME_MAX + 16)

/* Span within which an edit must reach the platform at all, ms. */
#define OP_REACH_MS 3000
/* Span within which a lost commit must be settled, ms. */
#define OP_SETTLE_MS 8000

/* Not yet settled work of one operator's call. */
struct rp_table_op {
	rp_token token;
	char draft[RP_NAME_MAX]; /* "": an edit */
	int drop;		 /* of a draft: remove it */
	char edit_id[RP_NAME_MAX];
	int64_t base_version;
	size_t ncells;
	struct rp_cell *cells;
	rp_ms started_at;
	rp_ms give_up_at;
	rp_ms retry_at;	  /* 0: a call to the platform is out */
	int64_t in_force; /* version here when the platform was asked */
	int64_t version;  /* of the table, if the commit takes effect */
	int64_t guard;	  /* row version of table/version it was sent with */
	int unsettled;	  /* a commit was lost: it may take effect */
	int raced;	  /* another edit came first */
	struct rp_table_op *next;
};

struct rp_draft {
	char name[RP_NAME_MAX];
	char edit_id[RP_NAME_MAX];
	int64_t base_version;
	size_t ncells;
	struct rp_cell *cells;
	struct rp_draft *next;
};

/* What another entry VM has in force, as it told us. */
struct rp_table_peer {
	char name[RP_NAME_MAX];
	int64_t version;
	rp_ms heard_at;
};

struct rp_table_counters {
	uint64_t polls, poll_failures, deltas, scans;
	uint64_t backward, diverged, gaps, from_peers;
	uint64_t accepted, conflicts, refused, unsettled, raced;
};

/* The row table/version, taken apart. */
struct rp_table_head {
	int64_t version;
	char edit_id[RP_NAME_MAX];
	int64_t draft_seq;
};

struct rp_table {
	void *lock;
	apr_pool_t *pool;
	apr_hash_t *cells;	   /* name -> struct rp_cell */
	int64_t version;	   /* in force */
	char edit_id[RP_NAME_MAX]; /* of the edit that made it */
	struct rp_table_head read; /* as last read from the platform */
	int contacted;		   /* the platform has answered once */
	rp_ms contact_at;	   /* when it last did */
	rp_ms poll_due;
	int polling;
	int64_t poll_version; /* in force when the poll was sent */
	uint64_t random;
	int64_t draft_seq; /* of the drafts below */
	struct rp_draft *drafts;
	rp_ms ask_due;	   /* when a member may be asked for the table */
	apr_hash_t *peers; /* name -> struct rp_table_peer */
	struct rp_table_op *ops;
	struct rp_table_counters counters;
};

/* table-text.c: rows of the platform as text */
void cell_name(const struct rp_cell *c, char out[RP_CELL_NAME_MAX]);
/* Name of the row that holds the edit of this number. */
void table_edit_name(int64_t version, char out[TABLE_EDIT_NAME_MAX]);
/* Whether the cell may stand in an edit; else fills st. */
enum rp_code cell_check(const struct rp_cell *c, struct rp_status *st);
/* Whether the text is a name that can stand in a row's name. */
int table_name_ok(const char *s);

/* A growing text. */
struct rp_text {
	char *data;
	size_t len, cap;
};

void text_printf(struct rp_text *t, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
void text_cells(struct rp_text *t, const struct rp_cell *cells, size_t n);
void text_finish(struct rp_text *t);
/* Cuts the next field, which ends at a tab or the end, from s. */
struct rp_str text_field(struct rp_str *s);
/* Cuts the next line from s. */
struct rp_str text_line(struct rp_str *s);
/* 0 unless the field is a whole number. */
int text_number(struct rp_str field, int64_t *out);

/* Cells that were read; append grows the list. */
struct rp_cells {
	struct rp_cell *list;
	size_t len, cap;
};

void cells_add(struct rp_cells *cells, const struct rp_cell *c);
/* Appends the cells of all lines; 0 when one is malformed. */
int cells_parse(struct rp_cells *cells, struct rp_str text);
int head_parse(struct rp_str value, struct rp_table_head *head);
void head_format(struct rp_text *t, const struct rp_table_head *head);

/* table-cells.c: what is in force */
void table_init(struct rp_kernel *k, rp_ms now);
void table_finish(struct rp_kernel *k);
/* Sets what the table says of a target or team; the shard's lock is held. */
void table_target(struct rp_dispatch *d, struct rp_target *t);
void table_team(struct rp_dispatch *d, struct rp_team *team);
int64_t table_version(struct rp_kernel *k);
/*
 * Puts cells in force that lead from the version since to head->version.
 * Returns 0, and changes nothing, when what is in force is older than since.
 */
int table_take(struct rp_kernel *k, rp_ms now, int64_t since,
	       const struct rp_table_head *head, const struct rp_cell *cells,
	       size_t ncells, struct rp_actions *acts);

/* table-peer.c: passing the table between entry VMs */
/* The cells changed after the version since, as one message. */
struct rp_blob *table_pack_delta(struct rp_kernel *k, int64_t since);
/* Returns 0 when the message is malformed or leaves a gap. */
int table_take_delta(struct rp_kernel *k, rp_ms now, const void *data,
		     size_t len, struct rp_actions *acts);
/* A member told which version it has in force: asks it for a newer one. */
void table_peer_heard(struct rp_kernel *k, rp_ms now, const char *vm,
		      int64_t version, struct rp_actions *acts);
/* A member asks for what changed after the version since. */
void table_peer_asked(struct rp_kernel *k, rp_ms now, const char *vm,
		      int64_t since, struct rp_actions *acts);

/* table-poll.c */
void table_poll(struct rp_kernel *k, rp_ms now, struct rp_actions *acts);
void table_drafts_free(struct rp_draft *draft);
/* Lets the next tick poll. */
void table_poll_soon(struct rp_kernel *k, rp_ms now);

/* table-op.c: the platform's part of edits and drafts */
void table_op_start(struct rp_kernel *k, rp_ms now, struct rp_table_op *op,
		    struct rp_actions *acts);
void table_op_free(struct rp_table_op *op);
void table_tick(struct rp_kernel *k, rp_ms now, struct rp_actions *acts);

/* table-edit.c */
void table_edit(struct rp_kernel *k, rp_ms now, const struct rp_event *ev,
		struct rp_actions *acts);
void table_draft(struct rp_kernel *k, rp_ms now, const struct rp_event *ev,
		 struct rp_actions *acts);

/* table-compact.c: removes rows of old edits after the given version. */
void table_compact(struct rp_kernel *k, rp_ms now, int64_t version,
		   struct rp_actions *acts);

/* table-report.c */
void table_metrics(struct rp_kernel *k, struct rp_writer *w);

#endif
