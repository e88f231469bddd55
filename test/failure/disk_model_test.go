package failure_test

import (
	"bytes"
	"maps"
	"math/rand"
	"slices"
)

// diskModel is the state of a data folder: what its process sees, and what a loss of power may leave of it. The content of a
// file is durable once it has been synced, its first name as well; renames and removals are durable once the folder has been
// synced. Of what is not durable, each write, truncation and name is kept, lost or torn on its own.
type diskModel struct {
	changes     uint64 // that were applied
	nextFile    uint64
	names       map[string]uint64 // as the process sees them
	files       map[uint64]*diskFile
	baseNames   map[string]uint64 // durable, without those in nameChanges
	nameChanges []*diskNameChange // in their order; the first is not durable
}

type diskFile struct {
	data     []byte // as the process sees it
	synced   []byte
	unsynced []diskFileChange
}

type diskFileChange struct {
	number uint64 // of the change
	diskChange
}

type diskNameChange struct {
	number  uint64
	durable bool
	diskChange
}

func newDiskModel() *diskModel {
	return &diskModel{names: make(map[string]uint64), files: make(map[uint64]*diskFile), baseNames: make(map[string]uint64)}
}

func (m *diskModel) apply(c diskChange) {
	m.changes++
	switch c.kind {
	case diskCreate:
		m.files[c.file] = &diskFile{}
		m.nextFile = max(m.nextFile, c.file+1)
		m.changeNames(c)
	case diskRename, diskRemove:
		m.changeNames(c)
	case diskWrite, diskTruncate:
		f := m.files[c.file]
		f.data = changeContent(f.data, c)
		c.data = bytes.Clone(c.data)
		f.unsynced = append(f.unsynced, diskFileChange{m.changes, c})
	case diskSync:
		m.files[c.file].sync(c.at)
		for _, change := range m.nameChanges {
			change.durable = change.durable || change.kind == diskCreate && change.file == c.file
		}
		m.keepDurableNames()
	case diskSyncFolder:
		for _, change := range m.nameChanges {
			change.durable = change.durable || change.number <= c.at
		}
		m.keepDurableNames()
	}
}

func (m *diskModel) changeNames(c diskChange) {
	changeNames(m.names, c)
	m.nameChanges = append(m.nameChanges, &diskNameChange{number: m.changes, diskChange: c})
}

// keepDurableNames moves the names up to the first that is not durable to the base.
func (m *diskModel) keepDurableNames() {
	for len(m.nameChanges) > 0 && m.nameChanges[0].durable {
		changeNames(m.baseNames, m.nameChanges[0].diskChange)
		m.nameChanges = m.nameChanges[1:]
	}
}

func changeNames(names map[string]uint64, c diskChange) {
	switch c.kind {
	case diskCreate:
		names[c.name] = c.file
	case diskRename:
		names[c.to] = c.file
		if names[c.name] == c.file {
			delete(names, c.name)
		}
	case diskRemove:
		delete(names, c.name)
	}
}

// sync makes the first changes of the folder durable, as far as they are changes of this file.
func (f *diskFile) sync(changes uint64) {
	for len(f.unsynced) > 0 && f.unsynced[0].number <= changes {
		f.synced = changeContent(f.synced, f.unsynced[0].diskChange)
		f.unsynced = f.unsynced[1:]
	}
}

// changeContent applies a write or truncation. Bytes between the end of the content and a write beyond it are zeros.
func changeContent(content []byte, c diskChange) []byte {
	end := int(c.at) + len(c.data)
	if c.kind == diskTruncate {
		content = content[:min(len(content), end)]
	}
	if missing := end - len(content); missing > 0 {
		content = append(content, make([]byte, missing)...)
	}
	copy(content[c.at:], c.data)
	return content
}

// unsyncedChanges returns how many changes of contents and of names are not durable.
func (m *diskModel) unsyncedChanges() (contents, names int) {
	for _, f := range m.files {
		contents += len(f.unsynced)
	}
	return contents, len(m.nameChanges)
}

// losePower returns the files that a loss of power may leave.
func (m *diskModel) losePower(r *rand.Rand) map[string][]byte {
	allLost := r.Intn(4) == 0
	names := maps.Clone(m.baseNames)
	for _, change := range m.nameChanges {
		if change.durable || !allLost && r.Intn(2) == 0 {
			changeNames(names, change.diskChange)
		}
	}
	left := make(map[string][]byte, len(names))
	for _, name := range slices.Sorted(maps.Keys(names)) {
		f := m.files[names[name]]
		content := bytes.Clone(f.synced)
		for _, change := range f.unsynced {
			if !allLost {
				content = tearChange(content, change.diskChange, r)
			}
		}
		left[name] = content
	}
	return left
}

// tearChange applies the change, a part of it, or nothing.
func tearChange(content []byte, c diskChange, r *rand.Rand) []byte {
	fate := r.Intn(3)
	switch {
	case fate == 0:
		return content
	case fate == 1 || c.kind == diskTruncate || len(c.data) == 0:
		return changeContent(content, c)
	}
	c.data = bytes.Clone(c.data)
	from := r.Intn(len(c.data))
	to := min(len(c.data), from+1+r.Intn(walSectorBytes))
	switch r.Intn(4) {
	case 0: // it ends early
		c.data = c.data[:from]
	case 1: // it begins late
		c.data, c.at = c.data[from:], c.at+uint64(from)
	case 2:
		clear(c.data[from:to])
	default:
		_, _ = r.Read(c.data[from:to])
	}
	return changeContent(content, c)
}
