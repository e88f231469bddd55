package claims

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

const shardCount = 32

// shard is a part of the keys under its own lock. Only Apply and Restore
// write, one at a time; lookups run beside them.
type shard struct {
	mu      sync.RWMutex
	records map[string]*record
}

func (t *Table) shard(key string) *shard {
	return &t.shards[xxhash.Sum64String(key)%shardCount]
}
