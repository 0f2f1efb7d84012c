/* Functions of all stand-ins that build replies and read JSON fields. */

#include "fake.h"

#include <stdlib.h>
#include <string.h>

enum fake_action fake_reply_body(struct fake_request *r, unsigned int status,
				 char *body, size_t len)
{
	r->reply.status = status;
	r->reply.body = body;
	r->reply.len = len;
	return FAKE_REPLY;
}

enum fake_action fake_reply_text(struct fake_request *r, unsigned int status,
				 const char *text)
{
	return fake_reply_body(r, status, strdup(text), strlen(text));
}

enum fake_action fake_reply_json(struct fake_request *r, unsigned int status,
				 json_t *value)
{
	char *text = json_dumps(value, JSON_COMPACT);

	json_decref(value);
	return fake_reply_body(r, status, text, text ? strlen(text) : 0);
}

enum fake_action fake_reply_error(struct fake_request *r, unsigned int status,
				  const char *message)
{
	return fake_reply_json(r, status,
			       json_pack("{s:s}", "message", message));
}

void fake_json_int(json_t *o, const char *name, int64_t *to)
{
	json_t *v = json_object_get(o, name);

	if (json_is_number(v))
		*to = (int64_t)json_number_value(v);
}

void fake_json_number(json_t *o, const char *name, double *to)
{
	json_t *v = json_object_get(o, name);

	if (json_is_number(v))
		*to = json_number_value(v);
}

void fake_json_bool(json_t *o, const char *name, int *to)
{
	json_t *v = json_object_get(o, name);

	if (json_is_boolean(v))
		*to = json_is_true(v);
}
