package standin

import "container/list"

// blockCache is a bounded cache of prompt blocks, least recently used first
// out.
type blockCache struct {
	limit int
	order *list.List // of uint64, most recently used first
	at    map[uint64]*list.Element
}

func newBlockCache(limit int) *blockCache {
	return &blockCache{limit: limit, order: list.New(), at: make(map[uint64]*list.Element)}
}

// use reads a prompt: it gives how many of its first blocks were cached, and
// the blocks that had to go for the others.
func (c *blockCache) use(chain []uint64) (hit int, evicted []uint64) {
	for hit < len(chain) && c.at[chain[hit]] != nil {
		hit++
	}
	for _, block := range chain {
		if element, ok := c.at[block]; ok {
			c.order.MoveToFront(element)
			continue
		}
		c.at[block] = c.order.PushFront(block)
	}
	for c.order.Len() > c.limit {
		last := c.order.Back()
		block := c.order.Remove(last).(uint64)
		delete(c.at, block)
		evicted = append(evicted, block)
	}
	return hit, evicted
}
