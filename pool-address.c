/* Addresses as text and as numbers. */

#include "pool-io.h"

#include <arpa/inet.h>
#include <ctype.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PORT_MAX 65535
#define PORT_DIGITS 5

/* Returns -1 unless the text is a number of at most PORT_MAX. */
static long parse_port(const char *text)
{
	size_t i, n = strlen(text);
	long port;

	if (!n || n > PORT_DIGITS)
		return -1;
	for (i = 0; i < n; i++)
		if (!isdigit((unsigned char)text[i]))
			return -1;
	port = strtol(text, NULL, 10);
	return port <= PORT_MAX ? port : -1;
}

int pool_parse_address(const char *text, struct sockaddr_in *sa)
{
	char host[RP_ADDRESS_MAX];
	const char *colon = strrchr(text, ':');
	long port = colon ? parse_port(colon + 1) : -1;

	memset(sa, 0, sizeof(*sa));
	if (port < 0 || (size_t)(colon - text) >= sizeof(host))
		return -1;
	memcpy(host, text, (size_t)(colon - text));
	host[colon - text] = '\0';
	sa->sin_family = AF_INET;
	sa->sin_port = htons((uint16_t)port);
	return inet_pton(AF_INET, host, &sa->sin_addr) == 1 ? 0 : -1;
}

uint64_t pool_address_pack(const char *text)
{
	struct sockaddr_in sa;

	if (pool_parse_address(text, &sa) < 0 || !sa.sin_port ||
	    !sa.sin_addr.s_addr)
		return 0;
	return (uint64_t)ntohl(sa.sin_addr.s_addr) << 16 | ntohs(sa.sin_port);
}

void pool_address_unpack(uint64_t address, char *text)
{
	snprintf(text, RP_ADDRESS_MAX, "%u.%u.%u.%u:%u",
		 (unsigned)(address >> 40) & 255,
		 (unsigned)(address >> 32) & 255,
		 (unsigned)(address >> 24) & 255,
		 (unsigned)(address >> 16) & 255, (unsigned)address & 65535);
}
