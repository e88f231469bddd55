package storage

import (
	"io"
	"io/fs"
	"maps"
	"path/filepath"
	"slices"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
)

// memoryFile is the content of a file.
type memoryFile struct {
	data   []byte // as read
	synced []byte // at the last sync
	// unsynced are the writes and truncations since then, in their order.
	unsynced []memoryChange
	// dropped bounds the part of data that a failed sync left marked as clean: it can
	// be read, but later syncs don't write it, as on Linux.
	dropped struct{ from, to int }
}

// memoryChange is a write at the offset, or, if data is nil, a truncation to it.
type memoryChange struct {
	offset int
	data   []byte
}

// write appends the data.
func (f *memoryFile) write(data []byte) {
	f.unsynced = append(f.unsynced, memoryChange{len(f.data), append([]byte{}, data...)})
	f.data = append(f.data, data...)
}

// sync makes data durable, except the dropped part.
func (f *memoryFile) sync() {
	f.synced = slices.Clone(f.data)
	f.unsynced = nil
	clear(f.synced[min(f.dropped.from, len(f.synced)):min(f.dropped.to, len(f.synced))])
}

// failSync drops everything that was written since the last sync.
func (f *memoryFile) failSync() {
	f.dropped.from, f.dropped.to = len(f.synced), len(f.data)
}

// truncate cuts the data; what is written there later is not dropped.
func (f *memoryFile) truncate(size int) {
	f.unsynced = append(f.unsynced, memoryChange{offset: size})
	f.data = f.data[:size]
	f.dropped.to = min(f.dropped.to, size)
}

// memoryFileSystem is an in-memory file system with simulated crashes, which lose
// unsynced data, and with failures that a test injects.
type memoryFileSystem struct {
	mu            sync.Mutex
	files         map[string]*memoryFile
	durableNames  map[string]*memoryFile   // as of the last folder sync
	unsyncedNames []map[string]*memoryFile // names that each creation, rename or removal since then has changed; nil: removed
	folderLocked  bool

	// injectFailure, if set, is called before each operation but MkdirAll and Lock,
	// which fails with the returned error, if any. A failing write still writes the
	// first written bytes.
	injectFailure func(operation, path string) (written int, err error)
}

var _ FileSystem = (*memoryFileSystem)(nil)

func newMemoryFileSystem() *memoryFileSystem {
	return &memoryFileSystem{files: make(map[string]*memoryFile), durableNames: make(map[string]*memoryFile)}
}

// lockAndInjectFailure begins an operation: it locks m.mu, which the caller must
// unlock, and returns the result of injectFailure.
func (m *memoryFileSystem) lockAndInjectFailure(operation, path string) (int, error) {
	m.mu.Lock()
	if m.injectFailure == nil {
		return 0, nil
	}
	return m.injectFailure(operation, filepath.Base(path))
}

func copyNames(names map[string]*memoryFile) map[string]*memoryFile {
	copied := make(map[string]*memoryFile, len(names))
	for name, file := range names {
		copied[name] = file
	}
	return copied
}

// recordNameChange must be called after each change of m.files, with m.mu held and the names that it changed.
func (m *memoryFileSystem) recordNameChange(names ...string) {
	change := make(map[string]*memoryFile, len(names))
	for _, name := range names {
		change[name] = m.files[name]
	}
	m.unsyncedNames = append(m.unsyncedNames, change)
}

// kill ends the process: what was written stays, also if it is not synced.
func (m *memoryFileSystem) kill() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.injectFailure = nil
	m.folderLocked = false
}

// crash discards what was not synced, and any injected failure. choose returns a
// number from 0 to below its argument; it decides how much unsynced data and which
// unsynced changes of names reached the disk nevertheless; at some crashes nothing did.
func (m *memoryFileSystem) crash(choose func(int) int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.injectFailure = nil
	m.folderLocked = false
	allLost := choose(4) == 0
	names := copyNames(m.durableNames)
	for _, change := range m.unsyncedNames {
		if allLost || choose(2) == 0 {
			continue
		}
		for name, file := range change {
			if file == nil {
				delete(names, name)
			} else {
				names[name] = file
			}
		}
	}
	m.files = make(map[string]*memoryFile)
	for _, name := range slices.Sorted(maps.Keys(names)) { // in an order that a seed reproduces
		file := names[name]
		data := slices.Clone(file.synced)
		switch {
		case allLost:
		case choose(2) == 0:
			data = dataAfterCrash(file, choose)
		default:
			data = file.tornChanges(choose)
		}
		m.files[name] = &memoryFile{data: data, synced: slices.Clone(data)}
	}
	m.durableNames = copyNames(m.files)
	m.unsyncedNames = nil
}

// tornChanges returns the synced data after some of the unsynced changes. Each is there, missing or torn, whatever the others
// are; what is missing between two writes is zeros.
func (f *memoryFile) tornChanges(choose func(int) int) []byte {
	data := slices.Clone(f.synced)
	for _, change := range f.unsynced {
		fate := choose(3)
		if fate == 0 {
			continue
		}
		if change.data == nil {
			data = data[:min(len(data), change.offset)]
			continue
		}
		written, offset := slices.Clone(change.data), change.offset
		if fate == 1 && len(written) > 0 {
			from := choose(len(written))
			to := min(len(written), from+1+choose(tornPartBytes))
			switch choose(3) {
			case 0:
				written = written[:from]
			case 1:
				written, offset = written[from:], offset+from
			default:
				clear(written[from:to])
			}
		}
		if missing := offset + len(written) - len(data); missing > 0 {
			data = append(data, make([]byte, missing)...)
		}
		copy(data[offset:], written)
	}
	return data
}

// dataAfterCrash returns the synced data and a chosen prefix of the rest, of which parts that begin and end at any byte
// may be zeros or other bytes.
func dataAfterCrash(file *memoryFile, choose func(int) int) []byte {
	data := slices.Clone(file.synced)
	if len(file.data) <= len(data) || string(file.data[:len(data)]) != string(data) {
		return data
	}
	size := len(data) + choose(len(file.data)-len(data)+1)
	data = append(data, file.data[len(data):size]...)
	for at := len(file.synced); at < size; {
		end := min(size, at+1+choose(tornPartBytes))
		switch choose(8) {
		case 0, 1:
			clear(data[at:end])
		case 2:
			for i := range data[at:end] {
				data[at+i] = byte(choose(256))
			}
		}
		at = end
	}
	return data
}

// tornPartBytes is the size of the largest part of a write that reaches the disk, or doesn't, as a whole.
const tornPartBytes = 512

func (m *memoryFileSystem) MkdirAll(string) error { return nil }

func (m *memoryFileSystem) List(folder string) ([]string, error) {
	_, err := m.lockAndInjectFailure("list", folder)
	defer m.mu.Unlock()
	var names []string
	for path := range m.files {
		names = append(names, strings.TrimPrefix(path, folder+"/"))
	}
	slices.Sort(names)
	return names, err
}

func (m *memoryFileSystem) ReadFile(path string) ([]byte, error) {
	_, err := m.lockAndInjectFailure("read", path)
	defer m.mu.Unlock()
	file := m.files[path]
	if err == nil && file == nil {
		err = fs.ErrNotExist
	}
	if err != nil {
		return nil, err
	}
	return slices.Clone(file.data), nil
}

func (m *memoryFileSystem) Create(path string) (File, error) {
	_, err := m.lockAndInjectFailure("create", path)
	defer m.mu.Unlock()
	if err != nil {
		return nil, err
	}
	file := &memoryFile{}
	m.files[path] = file
	m.recordNameChange(path)
	return &memoryHandle{fs: m, file: file, path: path}, nil
}

func (m *memoryFileSystem) OpenAppend(path string) (File, error) {
	_, err := m.lockAndInjectFailure("open", path)
	defer m.mu.Unlock()
	if err != nil {
		return nil, err
	}
	return &memoryHandle{fs: m, file: m.files[path], path: path}, nil
}

func (m *memoryFileSystem) Truncate(path string, size int64) error {
	_, err := m.lockAndInjectFailure("truncate", path)
	defer m.mu.Unlock()
	if err == nil {
		m.files[path].truncate(int(size))
	}
	return err
}

func (m *memoryFileSystem) Rename(from, to string) error {
	_, err := m.lockAndInjectFailure("rename", to)
	defer m.mu.Unlock()
	if err != nil {
		return err
	}
	m.files[to] = m.files[from]
	delete(m.files, from)
	m.recordNameChange(from, to)
	return nil
}

func (m *memoryFileSystem) Remove(path string) error {
	_, err := m.lockAndInjectFailure("remove", path)
	defer m.mu.Unlock()
	if err != nil {
		return err
	}
	delete(m.files, path)
	m.recordNameChange(path)
	return nil
}

func (m *memoryFileSystem) SyncFolder(folder string) error {
	_, err := m.lockAndInjectFailure("sync folder", folder)
	defer m.mu.Unlock()
	if err != nil {
		return err
	}
	m.durableNames = copyNames(m.files)
	m.unsyncedNames = nil
	return nil
}

func (m *memoryFileSystem) Lock(path string) (io.Closer, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.folderLocked {
		return nil, errors.Newf("file %q is locked", path)
	}
	m.folderLocked = true
	return memoryLock{m}, nil
}

type memoryLock struct{ fs *memoryFileSystem }

func (l memoryLock) Close() error {
	l.fs.mu.Lock()
	defer l.fs.mu.Unlock()
	l.fs.folderLocked = false
	return nil
}

type memoryHandle struct {
	fs   *memoryFileSystem
	file *memoryFile
	path string
}

func (h *memoryHandle) Write(data []byte) (int, error) {
	written, err := h.fs.lockAndInjectFailure("write", h.path)
	defer h.fs.mu.Unlock()
	if err != nil {
		written = min(written, len(data))
		h.file.write(data[:written])
		if errors.Is(err, errShortWrite) {
			return written, nil // like a faulty file system
		}
		return written, err
	}
	h.file.write(data)
	return len(data), nil
}

// errKilled, if injected, stands for the end of the process before the operation, or in the middle of a write.
var errKilled = errors.New("killed")

// errShortWrite, if injected, makes a write end early without an error.
var errShortWrite = errors.New("short write")

func (h *memoryHandle) Sync() error {
	_, err := h.fs.lockAndInjectFailure("sync", h.path)
	defer h.fs.mu.Unlock()
	switch {
	case err == nil:
		h.file.sync()
	case !errors.Is(err, errKilled):
		h.file.failSync()
	}
	return err
}

func (h *memoryHandle) Close() error { return nil }
