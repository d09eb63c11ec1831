package entry

import (
	"sync"

	"teaselloft/internal/model/message"
)

// partitions holds the network partitions that a failure test simulates.
type partitions struct {
	mutex   sync.RWMutex
	byEntry map[string]message.Partition
}

// Inject replaces the partition between this and another entry instance. A partition that drops neither direction
// removes it.
func (p *partitions) Inject(partition message.Partition) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !partition.In && !partition.Out {
		delete(p.byEntry, partition.Entry)
		return
	}
	p.byEntry[partition.Entry] = partition
}

func (p *partitions) dropsTo(entry string) bool {
	p.mutex.RLock()
	defer p.mutex.RUnlock()
	return p.byEntry[entry].Out
}

func (p *partitions) dropsFrom(entry string) bool {
	p.mutex.RLock()
	defer p.mutex.RUnlock()
	return p.byEntry[entry].In
}
