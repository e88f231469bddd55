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

// memory is a file system that forgets at a crash what was not synced, and
// whose operations a test can make fail.
type memory struct {
	mu      sync.Mutex
	files   map[string]*memoryFile
	durable map[string]*memoryFile   // names that outlive a crash
	changes []map[string]*memoryFile // names after each change since the last folder sync
	locked  bool

	// fail, if set, is asked before each operation. For a write, the number of
	// bytes that still reach the file comes with the error.
	fail func(operation, path string) (written int, err error)
}

var _ FileSystem = (*memory)(nil)

func newMemory() *memory {
	return &memory{files: make(map[string]*memoryFile), durable: make(map[string]*memoryFile)}
}

func (m *memory) begin(operation, path string) (int, error) {
	m.mu.Lock()
	if m.fail == nil {
		return 0, nil
	}
	return m.fail(operation, filepath.Base(path))
}

func copyNames(names map[string]*memoryFile) map[string]*memoryFile {
	copied := make(map[string]*memoryFile, len(names))
	for name, file := range names {
		copied[name] = file
	}
	return copied
}

func (m *memory) renamed() {
	m.changes = append(m.changes, copyNames(m.files))
}

// crash forgets what was not synced. choose returns a number below its
// argument; it decides how much unsynced data and how many changes of names
// reached the disk all the same.
func (m *memory) crash(choose func(int) int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fail = nil
	m.locked = false
	names := m.durable
	if n := choose(len(m.changes) + 1); n > 0 {
		names = m.changes[n-1]
	}
	m.files = make(map[string]*memoryFile)
	for name, file := range names {
		data := tear(file, choose)
		m.files[name] = &memoryFile{data: data, synced: slices.Clone(data)}
	}
	m.durable = copyNames(m.files)
	m.changes = nil
}

// tear returns the synced data and what a crash can leave of the rest: a part
// of it, in which sectors may be missing.
func tear(file *memoryFile, choose func(int) int) []byte {
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

func (m *memory) MkdirAll(string) error { return nil }

func (m *memory) List(folder string) ([]string, error) {
	_, err := m.begin("list", folder)
	defer m.mu.Unlock()
	var names []string
	for path := range m.files {
		names = append(names, strings.TrimPrefix(path, folder+"/"))
	}
	slices.Sort(names)
	return names, err
}

func (m *memory) ReadFile(path string) ([]byte, error) {
	_, err := m.begin("read", path)
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

func (m *memory) Create(path string) (File, error) {
	_, err := m.begin("create", path)
	defer m.mu.Unlock()
	if err != nil {
		return nil, err
	}
	file := &memoryFile{}
	m.files[path] = file
	m.renamed()
	return &memoryHandle{memory: m, file: file, path: path}, nil
}

func (m *memory) OpenAppend(path string) (File, error) {
	_, err := m.begin("open", path)
	defer m.mu.Unlock()
	if err != nil {
		return nil, err
	}
	return &memoryHandle{memory: m, file: m.files[path], path: path}, nil
}

func (m *memory) Truncate(path string, size int64) error {
	_, err := m.begin("truncate", path)
	defer m.mu.Unlock()
	if err == nil {
		m.files[path].data = m.files[path].data[:size]
	}
	return err
}

func (m *memory) Rename(from, to string) error {
	_, err := m.begin("rename", to)
	defer m.mu.Unlock()
	if err != nil {
		return err
	}
	m.files[to] = m.files[from]
	delete(m.files, from)
	m.renamed()
	return nil
}

func (m *memory) Remove(path string) error {
	_, err := m.begin("remove", path)
	defer m.mu.Unlock()
	if err != nil {
		return err
	}
	delete(m.files, path)
	m.renamed()
	return nil
}

func (m *memory) SyncFolder(folder string) error {
	_, err := m.begin("sync folder", folder)
	defer m.mu.Unlock()
	if err != nil {
		return err
	}
	m.durable = copyNames(m.files)
	m.changes = nil
	return nil
}

func (m *memory) Lock(path string) (io.Closer, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.locked {
		return nil, errors.Newf("file %q is locked", path)
	}
	m.locked = true
	return memoryLock{m}, nil
}

type memoryLock struct{ memory *memory }

func (l memoryLock) Close() error {
	l.memory.mu.Lock()
	defer l.memory.mu.Unlock()
	l.memory.locked = false
	return nil
}

type memoryHandle struct {
	memory *memory
	file   *memoryFile
	path   string
}

func (h *memoryHandle) Write(data []byte) (int, error) {
	written, err := h.memory.begin("write", h.path)
	defer h.memory.mu.Unlock()
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
	_, err := h.memory.begin("sync", h.path)
	defer h.memory.mu.Unlock()
	if err == nil {
		h.file.synced = slices.Clone(h.file.data)
	}
	return err
}

func (h *memoryHandle) Close() error { return nil }
