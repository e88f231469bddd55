package claims

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

const shardCount = 32

// shard holds some of the records under its own lock. Only Apply and Restore write,
// one at a time; lookups run concurrently.
type shard struct {
	mu      sync.RWMutex
	records map[string]*record
}

// shard returns the shard that holds the key.
func (t *Table) shard(key string) *shard {
	return &t.shards[xxhash.Sum64String(key)%shardCount]
}
