/*
 * Memory and descriptors of the machine, as they are stated or, if they are
 * not, as the system has them.
 */

#include "conn.h"

#include <malloc.h>
#include <sys/resource.h>
#include <unistd.h>

/* Descriptors that are not for sockets; at most half of few descriptors. */
#define FILES 200
/* Blocks from this size on are returned at once when they are freed. */
#define MAPPED_BYTES (32 << 10)
/* Part of the limit that is freed until the allocator is to return memory. */
#define TRIM_SHARE 16
#define TRIM_MIN ((size_t)1 << 20)

size_t machine_memory(size_t stated)
{
	long pages = sysconf(_SC_PHYS_PAGES), size = sysconf(_SC_PAGESIZE);

	if (stated)
		return stated;
	return pages > 0 && size > 0 ? (size_t)pages * (size_t)size : 0;
}

/* The descriptors that can be opened; raises the system's limit to these. */
static size_t usable_descriptors(size_t stated)
{
	struct rlimit files;

	if (getrlimit(RLIMIT_NOFILE, &files) < 0)
		return stated;
	if (!stated)
		return files.rlim_cur;
	if (files.rlim_cur < stated) {
		files.rlim_cur = stated < files.rlim_max ? stated
							 : files.rlim_max;
		setrlimit(RLIMIT_NOFILE, &files);
	}
	return stated < files.rlim_cur ? stated : files.rlim_cur;
}

size_t machine_sockets(size_t stated)
{
	size_t n = usable_descriptors(stated);

	return n - (n / 2 < FILES ? n / 2 : FILES);
}

void machine_init_allocator(void)
{
	/* The size from which blocks are mapped does not grow then. */
	mallopt(M_MMAP_THRESHOLD, MAPPED_BYTES);
}

void machine_trim(const struct rp_budget *b, size_t *peak)
{
	size_t total = atomic_load(&b->total), step = b->limit / TRIM_SHARE;

	if (total > *peak)
		*peak = total;
	if (*peak - total < (step > TRIM_MIN ? step : TRIM_MIN))
		return;
	*peak = total;
	malloc_trim(0);
}
