/* Base64 encoding, used for results that are not UTF-8. */

#include "http.h"

#include <stdlib.h>

char *http_base64(const char *data, size_t len)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				     "abcdefghijklmnopqrstuvwxyz0123456789+/";
	const unsigned char *p = (const unsigned char *)data;
	char *text = malloc((len + 2) / 3 * 4 + 1);
	char *out = text;
	size_t i;

	if (!text)
		return NULL;
	for (i = 0; i < len; i += 3) {
		size_t left = len - i;
		unsigned int n = (unsigned int)p[i] << 16;

		if (left > 1)
			n |= (unsigned int)p[i + 1] << 8;
		if (left > 2)
			n |= p[i + 2];
		*out++ = digits[n >> 18];
		*out++ = digits[n >> 12 & 63];
		*out++ = left > 1 ? digits[n >> 6 & 63] : '=';
		*out++ = left > 2 ? digits[n & 63] : '=';
	}
	*out = '\0';
	return text;
}
