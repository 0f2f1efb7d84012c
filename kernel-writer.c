/* Formatted text and JSON strings for a struct rp_writer. */

#include "rosemary-int.h"

#include <stdarg.h>
#include <stdio.h>

#define WRITER_LINE_SIZE 512 /* buffer of one call, bytes */

void rp_writer_printf(struct rp_writer *w, const char *fmt, ...)
{
	char line[WRITER_LINE_SIZE];
	va_list ap;
	int len;

	va_start(ap, fmt);
	len = vsnprintf(line, sizeof(line), fmt, ap);
	va_end(ap);
	if (len < 0)
		return;
	if ((size_t)len >= sizeof(line))
		len = sizeof(line) - 1;
	w->write(w, line, (size_t)len);
}

void writer_json_string(struct rp_writer *w, const char *before,
			struct rp_str s)
{
	size_t i;

	rp_writer_printf(w, "%s\"", before);
	for (i = 0; i < s.len; i++) {
		unsigned char c = (unsigned char)s.ptr[i];

		if (c == '"' || c == '\\')
			rp_writer_printf(w, "\\%c", c);
		else if (c < ' ' || c >= 0x7f)
			rp_writer_printf(w, "\\u%04x", c);
		else
			w->write(w, &s.ptr[i], 1);
	}
	w->write(w, "\"", 1);
}
