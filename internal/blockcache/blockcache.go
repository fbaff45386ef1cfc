// Package blockcache models an engine's prefix cache: a bounded LRU cache of prompt blocks.
package blockcache

import "container/list"

// Cache is an LRU cache of prompt blocks. It stores the identifiers of the blocks only.
// Create one with New. It is not safe for concurrent use.
type Cache struct {
	limit    int
	recency  *list.List // of uint64, most recently used first
	elements map[uint64]*list.Element
}

// New returns an empty cache of at most limit blocks.
func New(limit int) *Cache {
	return &Cache{limit: limit, recency: list.New(), elements: make(map[uint64]*list.Element)}
}

// Use looks up the blocks of a prompt and caches those that are missing. It returns the
// length of the cached prefix in blocks and the blocks that were evicted.
func (c *Cache) Use(chain []uint64) (hit int, evicted []uint64) {
	for hit < len(chain) && c.elements[chain[hit]] != nil {
		hit++
	}
	for _, block := range chain {
		if element, ok := c.elements[block]; ok {
			c.recency.MoveToFront(element)
			continue
		}
		c.elements[block] = c.recency.PushFront(block)
	}
	for c.recency.Len() > c.limit {
		last := c.recency.Back()
		block := c.recency.Remove(last).(uint64)
		delete(c.elements, block)
		evicted = append(evicted, block)
	}
	return hit, evicted
}
