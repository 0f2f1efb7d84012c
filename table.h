#ifndef TABLE_H
#define TABLE_H

/*
 * The operator's table of weights, limits and quotas. It is stored in rows of
 * the platform's table service:
 *
 *   table/version          version and id of the last edit, draft sequence
 *   table/edit/VERSION     cells of one edit, so that nodes can fetch deltas
 *   table/done/EDIT_ID     version that the accepted edit created
 *   table/cell/KIND/ROW/COL
 *   table/draft/NAME
 *
 * Every edit or draft is one transaction guarded by table/version. Each cell
 * carries the version that last changed it; a cell is replaced only by a newer
 * version, so the order in which versions arrive doesn't matter.
 */

#define TABLE_VERSION_ROW "table/version"
#define TABLE_EDIT_PREFIX "table/edit/"
#define TABLE_DONE_PREFIX "table/done/"
#define TABLE_CELL_PREFIX "table/cell/"
#define TABLE_DRAFT_PREFIX "table/draft/"

#define RP_CELL_NAME_MAX (2 * RP_NAME_MAX + 8)
#define TABLE_EDIT_NAME_MAX 40
#define TABLE_DONE_NAME_MAX (RP_NAME_MAX + 16)

/* Time until an edit is refused if the platform can't be reached, ms. */
#define OP_PLATFORM_TIMEOUT_MS 3000
/* Time until an edit whose commit has an unknown outcome is given up, ms. */
#define OP_UNSETTLED_TIMEOUT_MS 8000

/* An operator's edit or draft in progress. */
struct rp_table_op {
	rp_token token;
	char draft[RP_NAME_MAX]; /* name; empty for an edit */
	int drop;		 /* removes the draft instead of storing it */
	char edit_id[RP_NAME_MAX];
	int64_t base_version; /* table version that the operator edited */
	size_t ncells;
	struct rp_cell *cells;
	rp_ms started_at;
	rp_ms give_up_at;
	rp_ms retry_at; /* 0: a platform call is in flight */
	/* Version in force here when the rows were requested. */
	int64_t version_at_read;
	int64_t new_version; /* table version once the commit takes effect */
	/* Row version of table/version that the commit expects. */
	int64_t guard_row_version;
	int unsettled; /* outcome of a commit unknown: it may take effect */
	int raced;     /* another edit was committed first */
	struct rp_table_op *next;
};

/* A stored draft of an edit. */
struct rp_draft {
	char name[RP_NAME_MAX];
	char edit_id[RP_NAME_MAX];
	int64_t base_version;
	size_t ncells;
	struct rp_cell *cells;
	struct rp_draft *next;
};

/* The table version that another entry VM last reported. */
struct rp_table_peer {
	char name[RP_NAME_MAX];
	int64_t version;
	rp_ms reported_at;
};

/* Counters of the metrics table_* and edits_*. */
struct rp_table_counters {
	uint64_t polls, poll_failures, deltas, scans;
	uint64_t backward, diverged, gaps, from_peers;
	uint64_t accepted, conflicts, refused, unsettled, raced;
};

/* The parsed row table/version. */
struct rp_table_head {
	int64_t version;
	char edit_id[RP_NAME_MAX];
	int64_t draft_seq;
};

/* The table of this entry VM. */
struct rp_table {
	void *lock;
	apr_pool_t *pool;
	apr_hash_t *cells;	   /* name -> struct rp_cell */
	int64_t version;	   /* in force here; 0: none yet */
	char edit_id[RP_NAME_MAX]; /* id of the edit that created version */
	/* The row table/version as last read from the platform. */
	struct rp_table_head platform_head;
	int platform_answered;	  /* the platform has answered at least once */
	rp_ms platform_answer_at; /* time of its latest answer */
	rp_ms poll_due;
	int poll_pending;	 /* a poll is in progress */
	int64_t version_at_poll; /* in force here when the poll was sent */
	uint64_t random;	 /* state of the jitter's generator */
	int64_t draft_seq;	 /* draft sequence at which drafts was read */
	struct rp_draft *drafts;
	/* Earliest time of the next request for the table to a member. */
	rp_ms request_due;
	apr_hash_t *peers; /* name -> struct rp_table_peer */
	struct rp_table_op *ops;
	struct rp_table_counters counters;
};

/* table-text.c: text format of the platform's rows */
/* Writes KIND/ROW/COL. */
void cell_name(const struct rp_cell *c, char out[RP_CELL_NAME_MAX]);
/* Writes the name of the row that holds the edit of this version. */
void table_edit_name(int64_t version, char out[TABLE_EDIT_NAME_MAX]);
/* RP_OK if the cell is valid in an edit, otherwise fills st. */
enum rp_code cell_check(const struct rp_cell *c, struct rp_status *st);
/* Whether the text is a valid part of a row name. */
int table_name_valid(const char *s);

/* A growable string; data is not NUL-terminated. */
struct rp_text {
	char *data;
	size_t len, cap;
};

/* Appends up to 1023 bytes; longer output aborts the process. */
void text_printf(struct rp_text *t, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
/* Appends one line for each cell. */
void text_cells(struct rp_text *t, const struct rp_cell *cells, size_t n);
void text_finish(struct rp_text *t);
/* Removes and returns the next tab-separated field of s. */
struct rp_str text_next_field(struct rp_str *s);
/* Removes and returns the next line of s. */
struct rp_str text_next_line(struct rp_str *s);
/* Parses a decimal integer; 0 if the field is not one. */
int text_parse_number(struct rp_str field, int64_t *out);

/* A growable list of cells. */
struct rp_cells {
	struct rp_cell *list;
	size_t len, cap;
};

void cells_add(struct rp_cells *cells, const struct rp_cell *c);
/* Appends the cells of all lines; 0 if one is malformed. */
int cells_parse(struct rp_cells *cells, struct rp_str text);
/* Parses the value of table/version, empty for no row; 0 if malformed. */
int head_parse(struct rp_str value, struct rp_table_head *head);
void head_format(struct rp_text *t, const struct rp_table_head *head);

/* table-cells.c: the table in force */
void table_init(struct rp_kernel *k, rp_ms now);
void table_finish(struct rp_kernel *k);
/* Sets weight and limit of a target or team; needs the shard's lock. */
void table_set_target(struct rp_dispatch *d, struct rp_target *t);
void table_set_team(struct rp_dispatch *d, struct rp_team *team);
/* The version in force at this entry VM. */
int64_t table_version(struct rp_kernel *k);
/*
 * Applies the cells that changed between the versions since and head->version.
 * Returns 0 and changes nothing if the version in force is older than since.
 */
int table_apply(struct rp_kernel *k, rp_ms now, int64_t since,
		const struct rp_table_head *head, const struct rp_cell *cells,
		size_t ncells, struct rp_actions *acts);

/* table-peer.c: exchange of the table between entry VMs */
/* Encodes the cells that changed after the version since. */
struct rp_blob *table_pack_delta(struct rp_kernel *k, int64_t since);
/* Applies a delta; returns 0 if it is malformed or would leave a gap. */
int table_apply_delta(struct rp_kernel *k, rp_ms now, const void *data,
		      size_t len, struct rp_actions *acts);
/* Handles the version that a member reports; requests it if it is newer. */
void table_version_received(struct rp_kernel *k, rp_ms now, const char *vm,
			    int64_t version, struct rp_actions *acts);
/* Sends a member what changed after the version since. */
void table_request_received(struct rp_kernel *k, rp_ms now, const char *vm,
			    int64_t since, struct rp_actions *acts);

/* table-poll.c: reads the table from the platform */
void table_poll(struct rp_kernel *k, rp_ms now, struct rp_actions *acts);
void table_drafts_free(struct rp_draft *draft);
/* Makes the next tick poll. */
void table_poll_soon(struct rp_kernel *k, rp_ms now);

/* table-op.c: commits edits and drafts at the platform */
/* Takes over op, which ends with an RP_ACTION_EDITED. */
void table_op_start(struct rp_kernel *k, rp_ms now, struct rp_table_op *op,
		    struct rp_actions *acts);
void table_op_free(struct rp_table_op *op);
void table_tick(struct rp_kernel *k, rp_ms now, struct rp_actions *acts);

/* table-edit.c: validates the operators' events */
void table_edit(struct rp_kernel *k, rp_ms now, const struct rp_event *ev,
		struct rp_actions *acts);
void table_draft(struct rp_kernel *k, rp_ms now, const struct rp_event *ev,
		 struct rp_actions *acts);

/* table-compact.c */
/* Removes rows of old edits once the version was committed. */
void table_compact(struct rp_kernel *k, rp_ms now, int64_t version,
		   struct rp_actions *acts);

/* table-report.c */
void table_write_metrics(struct rp_kernel *k, struct rp_writer *w);

#endif
