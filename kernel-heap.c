/* A binary heap of nodes embedded in other structs. */

#include "rosemary-int.h"

#include <stdlib.h>

void heap_init(struct rp_heap *h)
{
	h->nodes = NULL;
	h->len = 0;
	h->cap = 0;
}

void heap_finish(struct rp_heap *h)
{
	free(h->nodes);
	heap_init(h);
}

void heap_node_init(struct rp_heap_node *n)
{
	n->key = 0;
	n->index = RP_HEAP_NONE;
}

/* Stores a node at index i. */
static void heap_place(struct rp_heap *h, size_t i, struct rp_heap_node *n)
{
	h->nodes[i] = n;
	n->index = i;
}

/* Moves a node up until its parent's key is not greater. */
static void heap_sift_up(struct rp_heap *h, struct rp_heap_node *n)
{
	size_t i = n->index;

	while (i > 0 && h->nodes[(i - 1) / 2]->key > n->key) {
		heap_place(h, i, h->nodes[(i - 1) / 2]);
		i = (i - 1) / 2;
	}
	heap_place(h, i, n);
}

/* Moves a node down until no child's key is smaller. */
static void heap_sift_down(struct rp_heap *h, struct rp_heap_node *n)
{
	size_t i = n->index;

	for (;;) {
		size_t child = 2 * i + 1;

		if (child >= h->len)
			break;
		if (child + 1 < h->len &&
		    h->nodes[child + 1]->key < h->nodes[child]->key)
			child++;
		if (h->nodes[child]->key >= n->key)
			break;
		heap_place(h, i, h->nodes[child]);
		i = child;
	}
	heap_place(h, i, n);
}

void heap_set(struct rp_heap *h, struct rp_heap_node *n, double key)
{
	n->key = key;
	if (n->index == RP_HEAP_NONE) {
		if (h->len == h->cap) {
			h->cap = h->cap ? 2 * h->cap : 16;
			h->nodes = kernel_realloc(h->nodes,
						  h->cap * sizeof(*h->nodes));
		}
		heap_place(h, h->len++, n);
	}
	heap_sift_up(h, n);
	heap_sift_down(h, n);
}

void heap_remove(struct rp_heap *h, struct rp_heap_node *n)
{
	struct rp_heap_node *last;

	if (n->index == RP_HEAP_NONE)
		return;
	last = h->nodes[--h->len];
	if (last != n) {
		heap_place(h, n->index, last);
		heap_sift_up(h, last);
		heap_sift_down(h, last);
	}
	n->index = RP_HEAP_NONE;
}

struct rp_heap_node *heap_first(const struct rp_heap *h)
{
	return h->len ? h->nodes[0] : NULL;
}
