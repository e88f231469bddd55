package storage

import (
	"io"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
)

// memoryFile is a file's content and how much of it is durable.
type memoryFile struct {
	data   []byte
	synced []byte
}

// memoryFileSystem is a file system that forgets at a crash what was not synced, and
// whose operations a test can make fail.
type memoryFileSystem struct {
	mu            sync.Mutex
	files         map[string]*memoryFile
	durableNames  map[string]*memoryFile   // names that outlive a crash
	unsyncedNames []map[string]*memoryFile // names after each change since the last folder sync
	folderLocked  bool

	// fail, if set, is asked before each operation. For a write, the number of
	// bytes that still reach the file comes with the error.
	injectFailure func(operation, path string) (written int, err error)
}

var _ FileSystem = (*memoryFileSystem)(nil)

func newMemoryFileSystem() *memoryFileSystem {
	return &memoryFileSystem{files: make(map[string]*memoryFile), durableNames: make(map[string]*memoryFile)}
}

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

func (m *memoryFileSystem) recordNameChange() {
	m.unsyncedNames = append(m.unsyncedNames, copyNames(m.files))
}

// crash forgets what was not synced. choose returns a number below its
// argument; it decides how much unsynced data and how many changes of names
// reached the disk all the same.
func (m *memoryFileSystem) crash(choose func(int) int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.injectFailure = nil
	m.folderLocked = false
	names := m.durableNames
	if n := choose(len(m.unsyncedNames) + 1); n > 0 {
		names = m.unsyncedNames[n-1]
	}
	m.files = make(map[string]*memoryFile)
	for name, file := range names {
		data := dataAfterCrash(file, choose)
		m.files[name] = &memoryFile{data: data, synced: slices.Clone(data)}
	}
	m.durableNames = copyNames(m.files)
	m.unsyncedNames = nil
}

// dataAfterCrash returns the synced data and what a crash can leave of the rest: a part
// of it, in which sectors may be missing.
func dataAfterCrash(file *memoryFile, choose func(int) int) []byte {
	data := slices.Clone(file.synced)
	if len(file.data) <= len(data) || string(file.data[:len(data)]) != string(data) {
		return data
	}
	size := len(data) + choose(len(file.data)-len(data)+1)
	data = append(data, file.data[len(data):size]...)
	for at := len(file.synced); at < size; at = (at/sectorSize + 1) * sectorSize {
		if choose(4) == 0 {
			clear(data[at:min(size, (at/sectorSize+1)*sectorSize)])
		}
	}
	return data
}

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
	m.recordNameChange()
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
		m.files[path].data = m.files[path].data[:size]
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
	m.recordNameChange()
	return nil
}

func (m *memoryFileSystem) Remove(path string) error {
	_, err := m.lockAndInjectFailure("remove", path)
	defer m.mu.Unlock()
	if err != nil {
		return err
	}
	delete(m.files, path)
	m.recordNameChange()
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
		h.file.data = append(h.file.data, data[:written]...)
		if errors.Is(err, errShortWrite) {
			return written, nil // as a broken file system would
		}
		return written, err
	}
	h.file.data = append(h.file.data, data...)
	return len(data), nil
}

// errShortWrite makes a write end early without an error.
var errShortWrite = errors.New("short write")

func (h *memoryHandle) Sync() error {
	_, err := h.fs.lockAndInjectFailure("sync", h.path)
	defer h.fs.mu.Unlock()
	if err == nil {
		h.file.synced = slices.Clone(h.file.data)
	}
	return err
}

func (h *memoryHandle) Close() error { return nil }
