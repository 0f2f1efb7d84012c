/*
 * Teams of a dispatch shard. A quota is divided evenly among the entry VMs,
 * and the remainder goes to the first ones by name, so that the parts add up
 * to the quota when all entry VMs see the same members. A part shrinks as soon
 * as a new member is known, and grows only when a member is gone. Each entry
 * VM may run at least one task, even when there are more entry VMs than the
 * quota has tasks.
 */

#include "rosemary-int.h"

#include <string.h>

struct rp_team *team_get(struct rp_dispatch *d, struct rp_str name)
{
	struct rp_team *team =
		apr_hash_get(d->teams, name.ptr, (apr_ssize_t)name.len);

	if (team)
		return team;
	team = kernel_alloc(sizeof(*team));
	str_copy(team->name, sizeof(team->name), name);
	team->shard = d;
	table_set_team(d, team);
	apr_hash_set(d->teams, team->name, APR_HASH_KEY_STRING, team);
	return team;
}

/* Returns this entry VM's part of the team's quota. */
static int team_local_quota(const struct rp_dispatch *d,
			    const struct rp_team *team)
{
	int part = team->quota / d->quota_vms;

	if (!team->quota)
		return 0;
	if (d->quota_rank < team->quota % d->quota_vms)
		part++;
	return part > 0 ? part : 1;
}

int team_at_quota(const struct rp_dispatch *d, const struct rp_team *team)
{
	return team->quota != RP_CELL_UNSET &&
	       team->in_flight >= team_local_quota(d, team);
}

void team_divide_quotas(struct rp_dispatch *d)
{
	const struct rp_view *v = d->view;
	size_t i;

	d->quota_vms = 1;
	d->quota_rank = 0;
	for (i = 0; v && i < v->nmembers; i++) {
		if (v->members[i].state == RP_MEMBER_GONE)
			continue;
		d->quota_vms++;
		d->quota_rank += strcmp(v->members[i].name, d->k->opt.vm_name) <
				 0;
	}
	d->quota_seq++;
}
