/* Dispatches messages of the limit policies to the service they name. */

#include "rosemary-int.h"

/*
 * The service's limit policy with its shard locked in *d. NULL with the shard
 * unlocked if the service is unknown or its policy takes no messages.
 */
static struct rp_limit *lock_limit(struct rp_kernel *k, const char *service,
				   struct rp_dispatch **d)
{
	struct rp_service *svc;

	*d = dispatch_shard_of(k, str_of(service));
	kernel_lock(k, (*d)->lock);
	svc = service_find(*d, str_of(service));
	if (svc && svc->limit->ops->report)
		return svc->limit;
	kernel_unlock(k, (*d)->lock);
	return NULL;
}

void limit_report_received(struct rp_kernel *k, rp_ms now, const char *from,
			   const RpCreditReport *msg, struct rp_actions *acts)
{
	struct rp_dispatch *d;
	struct rp_limit *l = lock_limit(k, msg->service, &d);

	if (!l)
		return;
	l->ops->report(l, from, msg, now, acts);
	kernel_unlock(k, d->lock);
}

void limit_grant_received(struct rp_kernel *k, rp_ms now, const char *from,
			  const RpCreditGrant *msg, struct rp_actions *acts)
{
	struct rp_dispatch *d;
	struct rp_limit *l = lock_limit(k, msg->service, &d);

	if (!l)
		return;
	l->ops->grant(l, from, msg, now, acts);
	kernel_unlock(k, d->lock);
}
