/* Parses entry VMs and targets given in the settings. */

#include "setting.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TEXT_MAX 512 /* bytes */
#define SLOTS_DEFAULT 1
#define CONNECTIONS_DEFAULT 64

/* Returns the next comma-separated part, or NULL if there is none. */
static char *next_part(char **rest)
{
	return *rest ? strsep(rest, ",") : NULL;
}

static int copy_name(char *to, size_t max, const char *part)
{
	if (!part || !setting_is_name(part) || strlen(part) >= max)
		return -1;
	memcpy(to, part, strlen(part) + 1);
	return 0;
}

/* Parses slots=N, connections=N, lookup or void. Returns 0 or -1. */
static int parse_option(struct rp_vm *vm, const char *part)
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

/* Parses text, modifying it. Returns an error message, or NULL if valid. */
static const char *parse_vm(struct rp_vm *vm, char *text)
{
	char *rest = text;
	char *name = strsep(&rest, "=");
	char *address = next_part(&rest);
	char *part;

	if (copy_name(vm->name, sizeof(vm->name), name))
		return "the name is malformed";
	if (!address || !setting_is_address(address))
		return "want ip:port after the name";
	memcpy(vm->address, address, strlen(address) + 1);
	if (copy_name(vm->failure_domain, sizeof(vm->failure_domain),
		      next_part(&rest)))
		return "want a failure domain after the address";
	if (vm->kind == RP_VM_ENTRY)
		return rest ? "too many parts" : NULL;
	if (copy_name(vm->service, sizeof(vm->service), next_part(&rest)))
		return "want a service after the failure domain";
	while ((part = next_part(&rest)))
		if (parse_option(vm, part))
			return "want slots=N, connections=N, lookup or void";
	return NULL;
}

static int is_duplicate(const struct settings *s, const struct rp_vm *vm)
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
		      const char *text, struct setting_errors *errs)
{
	const char *flag = kind == RP_VM_ENTRY ? "entry-vm" : "target";
	struct rp_vm vm = { .kind = kind };
	char copy[TEXT_MAX];
	const char *error;

	if (kind == RP_VM_TARGET) {
		vm.slots = SLOTS_DEFAULT;
		vm.connections = CONNECTIONS_DEFAULT;
	}
	if (strlen(text) >= sizeof(copy)) {
		setting_add_error(errs, "%s: too long", flag);
		return;
	}
	memcpy(copy, text, strlen(text) + 1);
	error = parse_vm(&vm, copy);
	if (!error && is_duplicate(s, &vm))
		error = "the name is given twice";
	if (!error && s->nvms == SETTING_VMS_MAX)
		error = "too many VMs";
	if (error)
		setting_add_error(errs, "%s: \"%s\": %s", flag, text, error);
	else
		append_vm(s, &vm);
}
