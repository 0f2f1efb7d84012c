/* The registry of policies, filled by constructors before main() runs. */

#include "rosemary-int.h"

#include <string.h>

static struct rp_plugin *plugins[RP_PLUGIN_KINDS];

void plugin_register(enum rp_plugin_kind kind, struct rp_plugin *p)
{
	p->next = plugins[kind];
	plugins[kind] = p;
}

struct rp_plugin *plugin_find(enum rp_plugin_kind kind, const char *name)
{
	struct rp_plugin *p;

	for (p = plugins[kind]; p; p = p->next)
		if (!strcmp(p->name, name))
			return p;
	return NULL;
}
