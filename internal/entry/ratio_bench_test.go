package entry_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pistachioport/pistachioport/internal/entry"
)

const (
	sequentialRequests = 1000 // requests, one after the other
	concurrentCallers  = 32
	requestsPerCaller  = 150
)

// BenchmarkEntryAgainstDirect prints latency and throughput of an entry, and
// their ratios to those of the same endpoint called directly in the same run.
// Control is in memory, so a claim costs a call but no fsync.
func BenchmarkEntryAgainstDirect(b *testing.B) {
	c := startFakeControl(b, dispatchConfiguration())
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = w.Write(make([]byte, 1024))
	})
	direct := httptest.NewServer(handler)
	b.Cleanup(direct.Close)
	for i := range 8 {
		serveEndpoint(b, c, fmt.Sprint("e", i), handler)
	}
	e := startEntry(b, c, func(config *entry.Config) { config.Limits.MaxQueueLength = 10 * concurrentCallers })
	for range b.N {
		base := measure(b, direct.URL, http.MethodGet, "/plans")
		fmt.Printf("\n| target | p50 | p99 | requests/s | p50 ratio | throughput ratio |\n|---|---|---|---|---|---|\n")
		base.print("endpoint directly", base)
		measure(b, e.url, http.MethodGet, "/plans").print("entry, idempotent", base)
		measure(b, e.url, http.MethodPost, "/orders").print("entry, non-idempotent", base)
	}
}

type measurement struct {
	p50, p99 time.Duration
	rate     float64 // requests per second
}

func (r measurement) print(name string, base measurement) {
	fmt.Printf("| %s | %v | %v | %.0f | %.2f | %.2f |\n", name, r.p50.Round(time.Microsecond), r.p99.Round(time.Microsecond),
		r.rate, float64(r.p50)/float64(base.p50), r.rate/base.rate)
}

func measure(b *testing.B, url, method, path string) measurement {
	b.Helper()
	transport := &http.Transport{MaxIdleConnsPerHost: concurrentCallers}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	sendOne := func() time.Duration {
		begin := time.Now()
		request, err := http.NewRequest(method, url+path, strings.NewReader("x"))
		if err != nil {
			b.Error(err)
			return 0
		}
		response, err := client.Do(request)
		if err != nil {
			b.Error(err)
			return 0
		}
		defer response.Body.Close()
		if _, err := io.Copy(io.Discard, response.Body); err != nil || response.StatusCode != http.StatusOK {
			b.Errorf("status %d, error %v", response.StatusCode, err)
		}
		return time.Since(begin)
	}
	for range 100 {
		sendOne() // warm up
	}
	times := make([]time.Duration, sequentialRequests)
	for i := range times {
		times[i] = sendOne()
	}
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	begin := time.Now()
	var callers sync.WaitGroup
	for range concurrentCallers {
		callers.Go(func() {
			for range requestsPerCaller {
				sendOne()
			}
		})
	}
	callers.Wait()
	return measurement{
		p50:  times[len(times)/2],
		p99:  times[len(times)*99/100],
		rate: concurrentCallers * requestsPerCaller / time.Since(begin).Seconds(),
	}
}
