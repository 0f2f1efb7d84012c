/* Entry VMs and targets that are known from the settings. */

#include "setting.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TEXT_MAX 512
#define SLOTS_DEFAULT 1
#define CONNECTIONS_DEFAULT 64

/* Takes the next part up to a comma; NULL when there is none. */
static char *next_part(char **at)
{
	return *at ? strsep(at, ",") : NULL;
}

static int set_field(char *to, size_t max, const char *part)
{
	if (!part || !setting_is_name(part) || strlen(part) >= max)
		return -1;
	memcpy(to, part, strlen(part) + 1);
	return 0;
}

/* Reads one of slots=N, connections=N, lookup and void. */
static int set_option(struct rp_vm *vm, const char *part)
{
	int64_t n;

	if (!strcmp(part, "lookup")) {
		vm->can_lookup = 1;
	} else if (!strcmp(part, "void")) {
		vm->can_void = 1;
	} else if (!strncmp(part, "slots=", 6)) {
		if (setting_parse_number(part + 6, 1, RP_LIMIT_MAX, &n))
			return -1;
		vm->slots = (int)n;
	} else if (!strncmp(part, "connections=", 12)) {
		if (setting_parse_number(part + 12, 1, RP_LIMIT_MAX, &n))
			return -1;
		vm->connections = (int)n;
	} else {
		return -1;
	}
	return 0;
}

/* Parses a text that it may change. Returns what is wrong, or NULL. */
static const char *parse_vm(struct rp_vm *vm, char *text)
{
	char *at = text;
	char *name = strsep(&at, "=");
	char *address = next_part(&at);
	char *part;

	if (set_field(vm->name, sizeof(vm->name), name))
		return "the name is malformed";
	if (!address || !setting_is_address(address))
		return "want ip:port after the name";
	memcpy(vm->address, address, strlen(address) + 1);
	if (set_field(vm->failure_domain, sizeof(vm->failure_domain),
		      next_part(&at)))
		return "want a failure domain after the address";
	if (vm->kind == RP_VM_ENTRY)
		return at ? "too many parts" : NULL;
	if (set_field(vm->service, sizeof(vm->service), next_part(&at)))
		return "want a service after the failure domain";
	while ((part = next_part(&at)))
		if (set_option(vm, part))
			return "want slots=N, connections=N, lookup or void";
	return NULL;
}

static int is_known(const struct settings *s, const struct rp_vm *vm)
{
	size_t i;

	for (i = 0; i < s->nvms; i++)
		if (s->vms[i].kind == vm->kind &&
		    !strcmp(s->vms[i].name, vm->name))
			return 1;
	return 0;
}

static void append_vm(struct settings *s, const struct rp_vm *vm)
{
	struct rp_vm *vms = realloc(s->vms, (s->nvms + 1) * sizeof(*vms));

	if (!vms)
		abort();
	s->vms = vms;
	s->vms[s->nvms++] = *vm;
}

void setting_parse_vm(struct settings *s, enum rp_vm_kind kind,
		      const char *text, struct setting_errors *f)
{
	const char *flag = kind == RP_VM_ENTRY ? "entry-vm" : "target";
	struct rp_vm vm = { .kind = kind };
	char copy[TEXT_MAX];
	const char *wrong;

	if (kind == RP_VM_TARGET) {
		vm.slots = SLOTS_DEFAULT;
		vm.connections = CONNECTIONS_DEFAULT;
	}
	if (strlen(text) >= sizeof(copy)) {
		setting_add_error(f, "%s: too long", flag);
		return;
	}
	memcpy(copy, text, strlen(text) + 1);
	wrong = parse_vm(&vm, copy);
	if (!wrong && is_known(s, &vm))
		wrong = "the name is given twice";
	if (!wrong && s->nvms == SETTING_VMS_MAX)
		wrong = "too many VMs";
	if (wrong)
		setting_add_error(f, "%s: \"%s\": %s", flag, text, wrong);
	else
		append_vm(s, &vm);
}
