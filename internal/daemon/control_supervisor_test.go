package daemon

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	gometrics "github.com/rcrowley/go-metrics"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
	"github.com/pistachioport/pistachioport/internal/clock"
	"github.com/pistachioport/pistachioport/internal/control"
	"github.com/pistachioport/pistachioport/internal/replica"
	"github.com/pistachioport/pistachioport/internal/rpc"
	"github.com/pistachioport/pistachioport/internal/state"
	"github.com/pistachioport/pistachioport/internal/state/claims"
	"github.com/pistachioport/pistachioport/internal/storage"
)

// fullDisk is a disk that refuses writes while it is full.
type fullDisk struct {
	storage.Disk
	full atomic.Bool
}

func (d *fullDisk) Create(path string) (storage.File, error) {
	if d.full.Load() {
		return nil, syscall.ENOSPC
	}
	file, err := d.Disk.Create(path)
	return &fileOnFullDisk{File: file, disk: d}, err
}

func (d *fullDisk) OpenAppend(path string) (storage.File, error) {
	file, err := d.Disk.OpenAppend(path)
	return &fileOnFullDisk{File: file, disk: d}, err
}

type fileOnFullDisk struct {
	storage.File
	disk *fullDisk
}

func (f *fileOnFullDisk) Write(data []byte) (int, error) {
	if f.disk.full.Load() {
		return 0, syscall.ENOSPC
	}
	return f.File.Write(data)
}

// supervisedProcess is a control process of one member whose disk can be full.
type supervisedProcess struct {
	t          *testing.T
	disk       fullDisk
	folder     string
	address    string
	registry   gometrics.Registry
	logs       syncBuffer
	supervisor *controlSupervisor
	stop       func()
	done       chan error
}

// syncBuffer is a bytes.Buffer that is safe for concurrent use.
type syncBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *syncBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(data)
}

func (b *syncBuffer) count(text string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Count(b.buffer.String(), text)
}

func newSupervisedProcess(t *testing.T) *supervisedProcess {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &supervisedProcess{
		t: t, folder: filepath.Join(t.TempDir(), "data"), address: socket.Addr().String(),
		registry: gometrics.NewRegistry(), done: make(chan error, 1),
	}
	_ = socket.Close()
	return p
}

func (p *supervisedProcess) start() {
	logger := slog.New(slog.NewTextHandler(&p.logs, nil))
	supervisor, err := newControlSupervisor(&controlSupervisor{
		build: p.build, folder: p.folder, disk: &p.disk, address: p.address, logger: logger, registry: p.registry,
	})
	if err != nil {
		p.t.Fatal(err)
	}
	p.supervisor = supervisor
	ctx, cancel := context.WithCancel(context.Background())
	p.stop = cancel
	go func() { p.done <- supervisor.run(ctx) }()
	p.t.Cleanup(func() {
		cancel()
		if err := <-p.done; err != nil {
			p.t.Error(err)
		}
	})
}

func (p *supervisedProcess) build(end *storage.Position) (*controlRole, error) {
	store := state.New(state.Options{Claims: claims.New(claims.Options{})})
	log, err := replica.New(replica.Config{
		DataDir: p.folder, DurableEnd: end, Name: "control-1", Address: p.address,
		StateMachine: store, Metrics: p.registry, FileSystem: &p.disk,
	})
	if err != nil {
		return nil, err
	}
	server, err := control.New(control.Config{
		Log: log, Store: store, Clock: clock.System{}, Metrics: p.registry, Name: "control-1", Address: p.address,
		EntryLease: time.Second,
	})
	if err != nil {
		return nil, err
	}
	role := &controlRole{replica: log, server: server}
	mux := http.NewServeMux()
	mux.Handle(replica.PeerPath, log.PeerHandler())
	mux.Handle("/", server.Handler())
	role.listener, err = listen(p.address, mux, requestReadTimeout, slog.New(slog.DiscardHandler))
	return role, err
}

func (p *supervisedProcess) control() apiv1.Control {
	return apiv1.NewControlProtobufClient("http://"+p.address, http.DefaultClient)
}

// publish publishes an empty configuration on the base revision.
func (p *supervisedProcess) publish(base uint64) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err := p.control().Publish(ctx, &apiv1.PublishRequest{
		BaseRevision: base, Operator: "operator", Configuration: &apiv1.Configuration{},
	})
	return err
}

func (p *supervisedProcess) revision() uint64 {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	response, err := p.control().GetConfiguration(ctx, &apiv1.GetConfigurationRequest{})
	if err != nil {
		return 0
	}
	return response.GetRevision()
}

func (p *supervisedProcess) eventually(what string, condition func() bool) {
	p.t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			p.t.Fatalf("not reached: %s; log:\n%s", what, p.logs.buffer.String())
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (p *supervisedProcess) unavailable() bool {
	return gometrics.GetOrRegisterGauge("daemon.folder.unavailable", p.registry).Value() == 1
}

func (p *supervisedProcess) form() {
	p.eventually("a formed cluster", func() bool {
		_, err := p.control().InitCluster(context.Background(), &apiv1.InitClusterRequest{
			Operator: "operator", Members: []*apiv1.Member{{Name: "control-1", Address: p.address}},
		})
		return err == nil
	})
	p.eventually("a publication", func() bool { return p.publish(0) == nil || p.revision() > 0 })
}

func TestFullDiskDoesNotEndTheProcess(t *testing.T) {
	is := is.New(t)
	p := newSupervisedProcess(t)
	p.start()
	p.form()
	before := p.revision()
	is.True(before > 0)

	p.disk.full.Store(true)
	is.True(p.publish(before) != nil) // not acknowledged
	p.eventually("the report of the failure", p.unavailable)
	p.eventually("a refusal that names the reason", func() bool {
		_, err := apiv1.NewPeerProtobufClient("http://"+p.address, http.DefaultClient).Identify(t.Context(), &apiv1.IdentifyRequest{})
		return err != nil && strings.Contains(err.Error(), p.folder)
	})
	client := rpc.NewClient(rpc.Options{Addresses: []string{p.address}})
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, err := client.Control().GetConfiguration(ctx, &apiv1.GetConfigurationRequest{})
	is.True(rpc.IsUnreachable(err))
	response, err := http.Get("http://" + p.address + "/metrics")
	is.NoErr(err)
	text, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.True(strings.Contains(string(text), "daemon_folder_unavailable 1"))
	is.Equal(len(p.done), 0) // still running

	p.disk.full.Store(false)
	p.eventually("the acknowledged configuration", func() bool { return p.revision() >= before })
	p.eventually("a new publication", func() bool { return p.publish(p.revision()) == nil })
	is.True(!p.unavailable())
	is.Equal(p.logs.count("data folder can't be used"), 1)
	is.Equal(p.logs.count("data folder usable again"), 1)
}

func TestProcessStartsWithAFullDisk(t *testing.T) {
	p := newSupervisedProcess(t)
	p.disk.full.Store(true)
	p.start()
	p.eventually("the report of the failure", p.unavailable)
	p.disk.full.Store(false)
	p.form()
}
