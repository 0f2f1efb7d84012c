#ifndef LEAD_INT_H
#define LEAD_INT_H

/* What the files of the election use of each other. */

#include "lead.h"

/* lead-core.c */
/* Sets the role by the leader's row, and restarts all timeouts. */
void lead_apply_row(struct lead *l, rp_ms now);
void lead_start_claim(struct lead *l, enum lead_claim_cause cause, rp_ms now);
/* This leader may have been replaced: the store tells, or it stops leading. */
void lead_doubt(struct lead *l, rp_ms now);

/* lead-probe.c */
void lead_start_probe(struct lead *l, rp_ms now);
/* Decides by the answers to the probe. */
void lead_finish_probe(struct lead *l, rp_ms now);
/* A VM has sent its heartbeat, which may be an answer to the probe. */
void lead_count_answer(struct lead *l, const struct lead_heartbeat *hb,
		       rp_ms now);
/* Has an isolated leader look for targets of other failure domains. */
void lead_check_isolation(struct lead *l, rp_ms now);
/* Leads without the store, if this VM may, as its claim has no reply yet. */
void lead_stop_awaiting_claim(struct lead *l, rp_ms now);

#endif
