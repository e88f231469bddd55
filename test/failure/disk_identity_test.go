package failure_test

import (
	"encoding/binary"
	"os"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	diskIdentityName  = "identity"
	diskLogSuffix     = ".log"
	walIncarnationEnd = walHeaderBytes + 8 // in the identity
)

// incarnation returns the member's incarnation that the process reads; 0: the folder holds none.
func (m *diskModel) incarnation() uint64 {
	id, ok := m.names[diskIdentityName]
	if !ok || len(m.files[id].data) < walIncarnationEnd {
		return 0
	}
	return binary.LittleEndian.Uint64(m.files[id].data[walHeaderBytes:])
}

// hasLog reports whether the folder holds a segment of the log, which a process begins when it knows its incarnation.
func (m *diskModel) hasLog() bool {
	for name := range m.names {
		if strings.HasSuffix(name, diskLogSuffix) {
			return true
		}
	}
	return false
}

// journalIncarnations returns the incarnations that processes with the journal's data folder had.
func journalIncarnations(path string) ([]uint64, error) {
	data, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	m := newDiskModel()
	var found []uint64
	for {
		change, size := diskChangeAt(data)
		if size == 0 {
			return found, nil
		}
		m.apply(change)
		data = data[size:]
		if incarnation := m.incarnation(); incarnation != 0 && !slices.Contains(found, incarnation) {
			found = append(found, incarnation)
		}
	}
}
