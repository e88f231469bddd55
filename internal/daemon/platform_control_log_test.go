package daemon

import (
	"bytes"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/pistachioport/pistachioport/internal/replica"
	"github.com/pistachioport/pistachioport/internal/state"
	"github.com/pistachioport/pistachioport/platform"
)

const keptLineLength = 200 // characters of a line that collectors keep

// loggedProcess is a process of which only the data folder is used.
type loggedProcess struct {
	platformProcess
	log bytes.Buffer
}

func newLoggedProcess(folder string, bootstrap bool) *loggedProcess {
	p := &loggedProcess{}
	p.settings = &platform.Settings{Name: "edge-bagmati-a-1", DataDir: folder, Bootstrap: bootstrap}
	p.logger = slog.New(slog.NewJSONHandler(&p.log, nil)).With("name", p.settings.Name)
	p.registry = gometrics.NewRegistry()
	return p
}

func (p *loggedProcess) open() (*replica.Replica, error) {
	return p.openReplica(replica.Config{
		DataDir: p.settings.DataDir, Name: p.settings.Name, Address: "127.0.0.1:1", StateMachine: state.New(state.Options{}), Logger: p.logger,
	})
}

func keptPart(line string) string { return line[:min(len(line), keptLineLength)] }

func TestDamagedFolderIsLoggedWithinTheKeptLength(t *testing.T) {
	is := is.New(t)
	folder := filepath.Join(t.TempDir(), strings.Repeat("a-long-name-", 8))
	is.NoErr(os.MkdirAll(folder, 0o700))
	is.NoErr(os.WriteFile(filepath.Join(folder, "identity"), []byte("not an identity"), 0o600))
	p := newLoggedProcess(folder, true)
	log, err := p.open()
	is.NoErr(err)
	kept := keptPart(p.log.String())
	is.True(strings.Contains(kept, `"level":"ERROR","msg":"data folder damaged; vote lost","name":"edge-bagmati-a-1","file":"identity","offset":0,"reason":`))
	p.log.Reset()
	p.logEmptyFolder(log.Status())
	is.True(strings.Contains(keptPart(p.log.String()), `"level":"WARN","msg":"data folder empty; no vote`))
}

func TestEmptyFolderIsLoggedUnlessTheClusterIsNew(t *testing.T) {
	for name, tc := range map[string]struct {
		bootstrap bool
		want      int // lines
	}{"first start of a cluster": {true, 0}, "a lost disk or a new process": {false, 1}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newLoggedProcess(t.TempDir(), tc.bootstrap)
			log, err := p.open()
			is.NoErr(err)
			p.logEmptyFolder(log.Status())
			is.Equal(strings.Count(p.log.String(), "data folder empty"), tc.want)
			p.logEmptyFolder(replica.Status{ClusterID: "cluster"})
			is.Equal(strings.Count(p.log.String(), "data folder empty"), tc.want)
		})
	}
}
