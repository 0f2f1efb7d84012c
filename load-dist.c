/* Distributions of counts and times, and weighted random names. */

#include "load.h"

#include <gsl/gsl_randist.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Parses a non-negative number that ends at the stop character, and moves past
 * that character. Returns -1 when it is malformed.
 */
static int parse_number(const char **at, char stop, double *out)
{
	char *end;

	*out = strtod(*at, &end);
	if (end == *at || *end != stop || *out < 0)
		return -1;
	*at = *end ? end + 1 : end;
	return 0;
}

int load_dist_parse(struct load_dist *d, const char *text)
{
	if (!strncmp(text, "exp:", 4)) {
		text += 4;
		d->kind = LOAD_DIST_EXPONENTIAL;
		return parse_number(&text, '\0', &d->a);
	}
	if (!strncmp(text, "lognorm:", 8)) {
		text += 8;
		d->kind = LOAD_DIST_LOGNORMAL;
		if (parse_number(&text, ':', &d->a) || d->a <= 0)
			return -1;
		return parse_number(&text, '\0', &d->b);
	}
	if (strchr(text, '-')) {
		d->kind = LOAD_DIST_UNIFORM;
		if (parse_number(&text, '-', &d->a) ||
		    parse_number(&text, '\0', &d->b))
			return -1;
		return d->b < d->a ? -1 : 0;
	}
	d->kind = LOAD_DIST_FIXED;
	return parse_number(&text, '\0', &d->a);
}

double load_dist_draw(const struct load_dist *d, gsl_rng *rng)
{
	switch (d->kind) {
	case LOAD_DIST_UNIFORM:
		return gsl_ran_flat(rng, d->a, d->b);
	case LOAD_DIST_EXPONENTIAL:
		return gsl_ran_exponential(rng, d->a);
	case LOAD_DIST_LOGNORMAL:
		return gsl_ran_lognormal(rng, log(d->a) - d->b * d->b / 2,
					 d->b);
	case LOAD_DIST_FIXED:
		break;
	}
	return d->a;
}

int load_mix_add(struct load_mix *m, const char *text)
{
	const char *colon = strchr(text, ':');
	size_t len = colon ? (size_t)(colon - text) : strlen(text);
	double weight = 1;
	char *end;

	if (m->len == LOAD_NAMES_MAX || !len || len >= LOAD_NAME_LEN)
		return -1;
	if (colon) {
		weight = strtod(colon + 1, &end);
		if (*end || end == colon + 1 || weight <= 0)
			return -1;
	}
	snprintf(m->names[m->len], LOAD_NAME_LEN, "%.*s", (int)len, text);
	m->weights[m->len++] = weight;
	return 0;
}

const char *load_mix_draw(const struct load_mix *m, gsl_rng *rng)
{
	double sum = 0, x;
	size_t i;

	for (i = 0; i < m->len; i++)
		sum += m->weights[i];
	x = gsl_rng_uniform(rng) * sum;
	for (i = 0; i + 1 < m->len; i++) {
		x -= m->weights[i];
		if (x < 0)
			break;
	}
	return m->names[i];
}
