package daemon

import (
	"bytes"
	"io/fs"
	"log/slog"
	"strings"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/pistachioport/pistachioport/internal/storage"
)

func TestCauseOfAnUnusableFolderIsLoggedWithinTheKeptLength(t *testing.T) {
	is := is.New(t)
	var log bytes.Buffer
	path := "/" + strings.Repeat("a-long-name/", 20) + "0000000000000001.log"
	failure := errors.Mark(errors.Wrap(&fs.PathError{Op: "write", Path: path, Err: syscall.ENOSPC}, "append to the log"), storage.ErrUnavailable)
	_, err := newControlSupervisor(&controlSupervisor{
		build:  func(*storage.Position) (*controlRole, error) { return nil, failure },
		folder: path, logger: slog.New(slog.NewJSONHandler(&log, nil)).With("name", "edge-region-a-1"), registry: gometrics.NewRegistry(),
	})
	is.NoErr(err)
	kept := keptPart(log.String())
	is.True(strings.Contains(kept, `"level":"ERROR","msg":"data folder can't be used; no votes until it can","name":"edge-region-a-1","cause":"no space left on device"`))
}
