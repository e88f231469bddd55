package failure_test

import (
	"bytes"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pistachioport/pistachioport/internal/storage"
)

// recordedDisk is the disk of a data folder. It keeps a journal of the changes and syncs beside the folder, which outlives
// the process: changes are recorded before they are made, syncs once they are completed.
type recordedDisk struct {
	storage.Disk
	syncTime time.Duration

	mu      sync.Mutex // held during changes, not during syncs
	folder  string
	journal *os.File // nil: the folder has not been opened yet
	changes uint64
	names   map[string]uint64
	sizes   map[uint64]uint64 // of the files
}

var _ storage.FileSystem = (*recordedDisk)(nil)

const (
	diskLockName = "lock" // the name of the lock, which has no content
	diskSyncTime = 5 * time.Millisecond
)

// MkdirAll opens the journal as well. That of a folder that doesn't exist any more is removed.
func (d *recordedDisk) MkdirAll(folder string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	path := folder + diskJournalSuffix
	if _, err := os.Stat(folder); errors.Is(err, os.ErrNotExist) {
		if err := os.RemoveAll(path); err != nil {
			return err
		}
	}
	if err := d.Disk.MkdirAll(folder); err != nil || d.journal != nil {
		return err
	}
	m, size, err := readDiskJournal(path)
	if err != nil {
		return err
	}
	if d.journal, err = os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	if err := d.journal.Truncate(size); err != nil {
		return err
	}
	d.folder, d.changes = folder, m.changes
	if err := d.recordForeignChanges(m); err != nil {
		return err
	}
	d.names, d.sizes = m.names, make(map[uint64]uint64)
	for id, file := range m.files {
		d.sizes[id] = uint64(len(file.data))
	}
	return nil
}

// recordForeignChanges records how the folder differs from what the journal says: by changes that were recorded and not made,
// and by those that a test made while no process ran.
func (d *recordedDisk) recordForeignChanges(m *diskModel) error {
	present, err := d.List(d.folder)
	if err != nil {
		return err
	}
	record := func(c diskChange) error {
		m.apply(c)
		return d.record(c)
	}
	found := make(map[string]bool)
	for _, name := range present {
		if name == diskLockName {
			continue
		}
		found[name] = true
		data, err := d.ReadFile(filepath.Join(d.folder, name))
		if err != nil {
			return err
		}
		id, known := m.names[name]
		if !known {
			id = m.nextFile
			if err := record(diskChange{kind: diskCreate, name: name, file: id}); err != nil {
				return err
			}
		}
		expected := m.files[id].data
		if bytes.Equal(data, expected) {
			continue
		}
		same := 0
		for same < min(len(data), len(expected)) && data[same] == expected[same] {
			same++
		}
		if same < len(expected) {
			if err := record(diskChange{kind: diskTruncate, file: id, at: uint64(same)}); err != nil {
				return err
			}
		}
		if same < len(data) {
			if err := record(diskChange{kind: diskWrite, file: id, at: uint64(same), data: data[same:]}); err != nil {
				return err
			}
		}
	}
	for name := range m.names {
		if !found[name] {
			if err := record(diskChange{kind: diskRemove, name: name}); err != nil {
				return err
			}
		}
	}
	return nil
}

// record appends the change to the journal.
func (d *recordedDisk) record(c diskChange) error {
	d.changes++
	_, err := d.journal.Write(c.append(nil))
	return err
}

// change records the change and makes it, unless the disk refuses it now.
func (d *recordedDisk) change(c diskChange, needsSpace bool, run func() error) error {
	if err := d.impairment().refusal(needsSpace); err != nil {
		return err
	}
	if err := d.record(c); err != nil {
		return err
	}
	return run()
}

// Create opens a new, empty file; an existing one is truncated.
func (d *recordedDisk) Create(path string) (storage.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	name := filepath.Base(path)
	id, exists := d.names[name]
	c := diskChange{kind: diskTruncate, file: id}
	if !exists {
		id = uint64(len(d.sizes))
		c = diskChange{kind: diskCreate, name: name, file: id}
	}
	var file storage.File
	err := d.change(c, true, func() (err error) {
		file, err = d.Disk.Create(path)
		return err
	})
	if err != nil {
		return nil, err
	}
	d.names[name], d.sizes[id] = id, 0
	return &recordedFile{File: file, disk: d, id: id}, nil
}

// OpenAppend opens an existing file.
func (d *recordedDisk) OpenAppend(path string) (storage.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	file, err := d.Disk.OpenAppend(path)
	if err != nil {
		return nil, err
	}
	return &recordedFile{File: file, disk: d, id: d.names[filepath.Base(path)]}, nil
}

// Truncate cuts a file.
func (d *recordedDisk) Truncate(path string, size int64) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	id := d.names[filepath.Base(path)]
	err := d.change(diskChange{kind: diskTruncate, file: id, at: uint64(size)}, false, func() error { return d.Disk.Truncate(path, size) })
	if err == nil {
		d.sizes[id] = uint64(size)
	}
	return err
}

// Rename moves a file.
func (d *recordedDisk) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := diskChange{kind: diskRename, name: filepath.Base(from), to: filepath.Base(to)}
	c.file = d.names[c.name]
	err := d.change(c, false, func() error { return d.Disk.Rename(from, to) })
	if err == nil {
		changeNames(d.names, c)
	}
	return err
}

// Remove deletes a file.
func (d *recordedDisk) Remove(path string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := diskChange{kind: diskRemove, name: filepath.Base(path)}
	err := d.change(c, false, func() error { return d.Disk.Remove(path) })
	if err == nil {
		changeNames(d.names, c)
	}
	return err
}

// SyncFolder makes the names durable.
func (d *recordedDisk) SyncFolder(string) error {
	return d.sync(diskChange{kind: diskSyncFolder})
}

// sync records that the sync covers the changes that had been made when it began. The machine's disk,
// which many cells share, is not synced.
func (d *recordedDisk) sync(c diskChange) error {
	d.mu.Lock()
	c.at = d.changes
	d.mu.Unlock()
	time.Sleep(d.syncTime)
	d.awaitSyncs(c.kind)
	if err := d.impairment().refusal(false); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.record(c)
}

// recordedFile is a file opened for appending.
type recordedFile struct {
	storage.File

	disk *recordedDisk
	id   uint64
}

// Write appends the data. A full disk takes a part of it.
func (f *recordedFile) Write(data []byte) (int, error) {
	d := f.disk
	d.mu.Lock()
	defer d.mu.Unlock()
	refusal := d.impairment().refusal(true)
	if errors.Is(refusal, errDiskFull) {
		data = data[:len(data)/2]
	} else if refusal != nil {
		return 0, refusal
	}
	if err := d.record(diskChange{kind: diskWrite, file: f.id, at: d.sizes[f.id], data: data}); err != nil {
		return 0, err
	}
	written, err := f.File.Write(data)
	d.sizes[f.id] += uint64(written)
	if err == nil {
		err = refusal
	}
	return written, err
}

// Sync makes the content durable.
func (f *recordedFile) Sync() error {
	return f.disk.sync(diskChange{kind: diskSync, file: f.id})
}
