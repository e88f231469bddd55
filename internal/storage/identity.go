package storage

import (
	"crypto/rand"
	"encoding/binary"
	"path/filepath"
	"slices"

	"github.com/cockroachdb/errors"
)

// Identity identifies the member. It is stored in the data folder and lost with it.
type Identity struct {
	Incarnation uint64 // random, never 0
	ClusterID   string // empty: the member belongs to no cluster
}

const identityName = "identity"

func newIncarnation() uint64 {
	for {
		var buffer [uint64Size]byte
		_, _ = rand.Read(buffer[:]) // never fails, by its documentation
		if incarnation := binary.LittleEndian.Uint64(buffer[:]); incarnation != 0 {
			return incarnation
		}
	}
}

// openIdentity reads the identity, or creates one in a folder without state files.
func openIdentity(fs FileSystem, folder string) (Identity, error) {
	names, err := fs.List(folder)
	if err != nil {
		return Identity{}, errors.Wrapf(err, "listing folder %q", folder)
	}
	if slices.Contains(names, identityName) {
		return readIdentity(fs, filepath.Join(folder, identityName))
	}
	if slices.ContainsFunc(names, isStateFile) {
		return Identity{}, &DamageError{
			Path:   filepath.Join(folder, identityName),
			Reason: "the file is missing, but the folder holds a log or snapshot",
		}
	}
	identity := Identity{Incarnation: newIncarnation()}
	return identity, writeIdentity(fs, folder, identity)
}

func readIdentity(fs FileSystem, path string) (Identity, error) {
	data, err := fs.ReadFile(path)
	if err != nil {
		return Identity{}, errors.Wrapf(err, "reading file %q", path)
	}
	records, _, err := scanRecords(path, data, false)
	if err != nil {
		return Identity{}, err
	}
	if len(records) != 1 || records[0].kind != recordIdentity || len(records[0].payload) < uint64Size {
		return Identity{}, &DamageError{Path: path, Reason: "the file does not hold exactly one identity"}
	}
	payload := records[0].payload
	return Identity{
		Incarnation: binary.LittleEndian.Uint64(payload),
		ClusterID:   string(payload[uint64Size:]),
	}, nil
}

func writeIdentity(fs FileSystem, folder string, identity Identity) error {
	payload := encodeUint64s(identity.Incarnation)
	payload = append(payload, identity.ClusterID...)
	return replaceFile(fs, folder, identityName, appendRecord(nil, recordIdentity, payload))
}
