package tasks

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

const shardCount = 16

// shard holds some of the jobs or workers. Only Apply, Configure and Restore
// write. They run in one goroutine, the writer, which reads without locking.
type shard[V any] struct {
	mu     sync.RWMutex
	values map[string]V
}

// shards holds all jobs or all workers, distributed by a hash of their names.
type shards[V any] struct {
	all       [shardCount]shard[V]
	locked    [shardCount]bool // by the writer, which alone accesses this field
	anyLocked bool             // the writer holds at least one lock
}

func newShards[V any]() *shards[V] {
	s := &shards[V]{}
	for i := range s.all {
		s.all[i].values = make(map[string]V)
	}
	return s
}

// shardIndex returns the index of the shard that holds the name.
func shardIndex(name string) int {
	return int(xxhash.Sum64String(name) % shardCount)
}

// lockShard returns the shard of the name, locked by the writer until unlockAll.
// It does nothing if the writer has already locked the shard.
func (s *shards[V]) lockShard(name string) *shard[V] {
	i := shardIndex(name)
	if !s.locked[i] {
		s.all[i].mu.Lock()
		s.locked[i] = true
		s.anyLocked = true
	}
	return &s.all[i]
}

// unlockAll unlocks all shards that the writer has locked.
func (s *shards[V]) unlockAll() {
	if !s.anyLocked {
		return
	}
	for i := range s.all {
		if s.locked[i] {
			s.all[i].mu.Unlock()
			s.locked[i] = false
		}
	}
	s.anyLocked = false
}

// read calls f with the named value under the shard's read lock.
func (s *shards[V]) read(name string, f func(value V, ok bool)) {
	sh := &s.all[shardIndex(name)]
	sh.mu.RLock()
	defer sh.mu.RUnlock()
	value, ok := sh.values[name]
	f(value, ok)
}

// readAll calls f with every value, each under its shard's read lock.
func (s *shards[V]) readAll(f func(value V)) {
	for i := range s.all {
		s.readShard(i, f)
	}
}

func (s *shards[V]) readShard(i int, f func(value V)) {
	sh := &s.all[i]
	sh.mu.RLock()
	defer sh.mu.RUnlock()
	for _, value := range sh.values {
		f(value)
	}
}

// names returns all names, sorted. Only the writer may call it.
func (s *shards[V]) names() []string {
	all := make(map[string]bool)
	for i := range s.all {
		for name := range s.all[i].values {
			all[name] = true
		}
	}
	return sortedKeys(all)
}
