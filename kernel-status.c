/* Names of codes, steps and states, and the formatting of a status. */

#include "rosemary-int.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

static const char *const code_names[] = {
	[RP_OK] = "ok",
	[RP_E_INPUT] = "bad_input",
	[RP_E_CONFLICT] = "conflict",
	[RP_E_UNKNOWN_KEY] = "unknown_key",
	[RP_E_UNREACHABLE] = "owner_unreachable",
	[RP_E_GONE] = "owner_gone",
	[RP_E_EXPIRED] = "key_expired",
	[RP_E_DROPPED] = "answer_dropped",
	[RP_E_FULL] = "full",
	[RP_E_DEADLINE] = "deadline",
	[RP_E_CANCELLED] = "cancelled",
	[RP_E_PLATFORM] = "platform",
	[RP_E_TARGET] = "target_failed",
	[RP_E_SILENT] = "target_silent",
	[RP_E_DRAINING] = "draining",
	[RP_E_INTERNAL] = "internal",
};

static const char *const step_names[] = {
	[RP_STEP_NONE] = "",	     [RP_STEP_PARSE] = "parse",
	[RP_STEP_ADMIT] = "admit",   [RP_STEP_CLAIM] = "claim",
	[RP_STEP_RELAY] = "relay",   [RP_STEP_QUEUE] = "queue",
	[RP_STEP_START] = "start",   [RP_STEP_RUN] = "run",
	[RP_STEP_LOOKUP] = "lookup", [RP_STEP_TABLE] = "table",
	[RP_STEP_STOP] = "stop",
};

static const char *const state_names[] = {
	[RP_RUNNING] = "running", [RP_COMPLETE] = "complete",
	[RP_FAILED] = "failed",	  [RP_NOT_RUN] = "not_run",
	[RP_REFUSED] = "refused",
};

const char *rp_code_name(enum rp_code code)
{
	return code_names[code];
}

const char *rp_step_name(enum rp_step step)
{
	return step_names[step];
}

const char *rp_state_name(enum rp_state state)
{
	return state_names[state];
}

enum rp_code rp_status_set(struct rp_status *st, enum rp_code code,
			   enum rp_step step, const char *peer, const char *fmt,
			   ...)
{
	va_list ap;

	st->code = code;
	st->step = step;
	snprintf(st->peer, sizeof(st->peer), "%s", peer ? peer : "");
	va_start(ap, fmt);
	vsnprintf(st->message, sizeof(st->message), fmt, ap);
	va_end(ap);
	return code;
}
