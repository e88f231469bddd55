package failure_test

import (
	"os"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// diskImpairment is how a disk behaves that doesn't work as it should.
type diskImpairment string

const (
	diskWorks   diskImpairment = ""
	diskHangs   diskImpairment = "hangs"   // no sync returns
	namesHang   diskImpairment = "names"   // no sync of a folder returns
	diskRefuses diskImpairment = "refuses" // changes and syncs fail
	diskIsFull  diskImpairment = "full"    // writes and new files fail
)

const (
	// diskImpairmentSuffix is appended to the path of a data folder to name the file that holds the disk's impairment.
	diskImpairmentSuffix  = ".impairment"
	diskImpairmentPolling = 10 * time.Millisecond
)

var (
	errDiskRefuses = errors.Wrap(syscall.EIO, "impaired disk")
	errDiskFull    = errors.Wrap(syscall.ENOSPC, "impaired disk")
)

// refusal returns the error of a change or sync; nil if the disk doesn't refuse it.
func (i diskImpairment) refusal(needsSpace bool) error {
	switch {
	case i == diskRefuses:
		return errDiskRefuses
	case i == diskIsFull && needsSpace:
		return errDiskFull
	}
	return nil
}

// impairment returns how the disk is impaired now.
func (d *recordedDisk) impairment() diskImpairment {
	text, err := os.ReadFile(d.folder + diskImpairmentSuffix)
	if err != nil {
		return diskWorks
	}
	return diskImpairment(text)
}

// awaitSyncs returns once the disk doesn't hang at syncs of the kind.
func (d *recordedDisk) awaitSyncs(kind diskChangeKind) {
	for {
		impairment := d.impairment()
		if impairment != diskHangs && (impairment != namesHang || kind != diskSyncFolder) {
			return
		}
		time.Sleep(diskImpairmentPolling)
	}
}

// impairDisk impairs the process's disk until the next call.
func (p *soakProcess) impairDisk(impairment diskImpairment) {
	path := p.dataDir + diskImpairmentSuffix
	err := os.Remove(path)
	if errors.Is(err, os.ErrNotExist) {
		err = nil
	}
	if impairment != diskWorks {
		// A rename, because the process must not read a part of the text.
		err = errors.CombineErrors(err, os.WriteFile(path+".new", []byte(impairment), 0o600))
		err = errors.CombineErrors(err, os.Rename(path+".new", path))
	}
	if err != nil {
		p.t.Error(err)
	}
}
