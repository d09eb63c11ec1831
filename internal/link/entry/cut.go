package entry

import (
	"sync"

	"teaselloft/internal/model/message"
)

// cuts are the links that a failure test has cut.
type cuts struct {
	mutex   sync.RWMutex
	entries map[string]message.Partition
}

// Inject replaces the cut towards one entry instance.
func (c *cuts) Inject(cut message.Partition) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !cut.In && !cut.Out {
		delete(c.entries, cut.Entry)
		return
	}
	c.entries[cut.Entry] = cut
}

func (c *cuts) to(entry string) bool {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	return c.entries[entry].Out
}

func (c *cuts) from(entry string) bool {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	return c.entries[entry].In
}
