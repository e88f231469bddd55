package daemon

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/pistachioport/pistachioport/internal/connlimit"
	"github.com/pistachioport/pistachioport/internal/fake/bubble"
)

// Behaviour of the platform's workers.
const (
	reportInterval  = 1500 * time.Millisecond
	responseTimeout = time.Second            // after which a worker reports to the next process
	roundPause      = 100 * time.Millisecond // after a report that failed at all processes
)

// reportingWorker reports every reportInterval over a connection that it keeps. After a failure it reports to the
// next process at once, and later to the address that the last response named.
type reportingWorker struct {
	network  *memoryNetwork
	number   int
	current  int // index of the process that it reports to
	conn     net.Conn
	reader   *bufio.Reader
	sequence int
	born     int64
	served   *atomic.Int64 // reports that were answered with 200
	failed   *atomic.Int64 // attempts that were not
	used     bool          // the connection has served a report
	lost     *atomic.Int64 // attempts that failed over a connection that had served one
}

func (w *reportingWorker) run(ctx context.Context) {
	defer w.disconnect()
	if sleepUntil(ctx, time.Duration(w.number)*time.Millisecond%reportInterval) != nil {
		return
	}
	for ctx.Err() == nil {
		begin := time.Now()
		w.sequence++
		for attempt := 1; ctx.Err() == nil && !w.report(); attempt++ {
			w.failed.Add(1)
			if w.used {
				w.lost.Add(1)
			}
			w.disconnect()
			w.current = (w.current + 1) % len(w.network.order)
			if time.Since(begin) >= reportInterval {
				break
			}
			if attempt%len(w.network.order) == 0 {
				time.Sleep(roundPause)
			}
		}
		if sleepUntil(ctx, reportInterval-time.Since(begin)) != nil {
			return
		}
	}
}

func sleepUntil(ctx context.Context, length time.Duration) error {
	select {
	case <-time.After(length):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// report makes one attempt and reports whether it was answered with 200.
func (w *reportingWorker) report() bool {
	if w.conn == nil {
		conn, err := w.network.dial(w.network.order[w.current])
		if err != nil {
			return false
		}
		w.conn, w.reader = conn, bufio.NewReader(conn)
	}
	_ = w.conn.SetDeadline(time.Now().Add(responseTimeout))
	body := fmt.Sprintf(`{"service":"pool","address":"127.0.0.1:%d","state":"ready","capacity":{"cpu":16000,"mem_mb":64000,"gpu":0},"born":%d,"sequence":%d}`,
		1+w.number, w.born, w.sequence)
	request := fmt.Sprintf("PUT /api/instances/i-%d HTTP/1.1\r\nHost: control\r\nContent-Length: %d\r\n\r\n%s", w.number, len(body), body)
	_, writeErr := io.WriteString(w.conn, request)
	response, err := http.ReadResponse(w.reader, nil) // a refusal may be sent before the request is read
	if err != nil || writeErr != nil {
		return false
	}
	var text bytes.Buffer
	_, err = io.Copy(&text, response.Body)
	_ = response.Body.Close()
	if err != nil || response.StatusCode != http.StatusOK {
		return false
	}
	w.served.Add(1)
	w.used = true
	w.follow(text.Bytes(), response.Close)
	return true
}

// follow applies what a response says about later reports.
func (w *reportingWorker) follow(body []byte, closes bool) {
	var answer struct {
		Address string `json:"heartbeat_url"`
	}
	_ = json.Unmarshal(body, &answer)
	moved := false
	for i, address := range w.network.order {
		if address == answer.Address && i != w.current {
			w.current, moved = i, true
		}
	}
	if moved || closes {
		w.disconnect()
	}
}

func (w *reportingWorker) disconnect() {
	if w.conn != nil {
		_ = w.conn.Close()
		w.conn, w.used = nil, false
	}
}

// storm is a number of reporting workers and processes.
type storm struct {
	t       *testing.T
	network *memoryNetwork
	// listeners and servers are those of the processes, by address.
	listeners      map[string]*connlimit.Listener
	servers        []*http.Server
	registry       metrics.Registry
	served, failed atomic.Int64
	lost           atomic.Int64 // used connections that were closed
	workers        sync.WaitGroup
}

func newStorm(t *testing.T) *storm {
	return &storm{
		t: t, network: &memoryNetwork{sockets: make(map[string]*memorySocket)},
		listeners: make(map[string]*connlimit.Listener), registry: metrics.NewRegistry(),
	}
}

// serve starts a process with a bound of its report connections.
func (s *storm) serve(address string, limit int, handler http.Handler) *connlimit.Listener {
	return s.serveOn(s.network.listen(address), address, limit, handler)
}

// servePaid is serve for a process whose accepted connections cost processor time.
func (s *storm) servePaid(address string, limit int, process *reportProcess, handler http.Handler) *connlimit.Listener {
	return s.serveOn(paidSocket{s.network.listen(address), process}, address, limit, handler)
}

func (s *storm) serveOn(socket net.Listener, address string, limit int, handler http.Handler) *connlimit.Listener {
	limited := connlimit.NewListener(socket, address, limit, slog.New(slog.DiscardHandler), s.registry)
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, ConnState: limited.ConnState}
	go func() { _ = server.Serve(limited) }()
	s.listeners[address], s.servers = limited, append(s.servers, server)
	return limited
}

// start lets the workers report, spread evenly over the processes at first, until ctx ends.
func (s *storm) start(ctx context.Context, workers int) {
	for i := range workers {
		w := &reportingWorker{
			network: s.network, number: i, current: i % len(s.network.order), born: time.Now().UnixMilli(),
			served: &s.served, failed: &s.failed, lost: &s.lost,
		}
		s.workers.Go(func() { w.run(ctx) })
	}
}

// observe returns, over a number of report intervals, the connections opened to each process, and the attempts that
// were served and failed.
func (s *storm) observe(intervals int) (opened map[string]int64, served, failed int64) {
	before, servedBefore, failedBefore := s.network.opened(), s.served.Load(), s.failed.Load()
	time.Sleep(time.Duration(intervals) * reportInterval)
	opened = s.network.opened()
	for address := range opened {
		opened[address] -= before[address]
	}
	return opened, s.served.Load() - servedBefore, s.failed.Load() - failedBefore
}

func (s *storm) stop() {
	for _, server := range s.servers {
		_ = server.Close()
	}
	s.workers.Wait()
}

func sum(counts map[string]int64) int64 {
	total := int64(0)
	for _, count := range counts {
		total += count
	}
	return total
}

// Descriptors, workers and control processes of the deployment with 300 VMs.
const (
	largeDescriptors      = 4100
	largeWorkers          = 3000
	largeControlProcesses = 6
)

// TestFixedPartOfReportsIsTooSmallFor3000Workers shows a cause of the overload with 3,000 workers: six processes that
// keep 496 report connections each evict for each new connection one that is in use, and its worker opens another.
func TestFixedPartOfReportsIsTooSmallFor3000Workers(t *testing.T) {
	for _, workers := range []int{1100, largeWorkers} {
		bubble.Test(t, func(t *testing.T) {
			s := newStorm(t)
			ctx, cancel := context.WithCancel(t.Context())
			for i := range largeControlProcesses {
				address := fmt.Sprintf("10.0.0.%d:7400", i+1)
				s.serve(address, connlimit.ControlPlan(largeDescriptors).Reports, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					_, _ = io.Copy(io.Discard, r.Body)
					_, _ = fmt.Fprintf(w, `{"heartbeat_url":%q}`, address)
				}))
			}
			s.start(ctx, workers)
			time.Sleep(10 * reportInterval)
			opened, served, failed := s.observe(4)
			t.Logf("%d workers, in 4 report intervals: %d connections opened, %d reports served, %d attempts failed; by process %v",
				workers, sum(opened), served, failed, opened)
			cancel()
			s.stop()
			if workers <= 1100 && sum(opened) != 0 {
				t.Fatalf("%d connections opened", sum(opened))
			}
			if workers == largeWorkers && sum(opened) < served/2 {
				t.Fatal("most reports are served over a connection that is kept")
			}
		})
	}
}
