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
	ratioSequential = 1000 // requests, one after the other
	ratioCallers    = 32   // at once
	ratioEach       = 150  // requests of each caller
)

// BenchmarkEntryAgainstDirect prints latency and throughput of an entry as
// ratios to the same endpoint called directly, measured in one run. Control is
// in memory, so claims cost a call and no fsync.
func BenchmarkEntryAgainstDirect(b *testing.B) {
	c := newControl(b, dispatch())
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = w.Write(make([]byte, 1024))
	})
	direct := httptest.NewServer(handler)
	b.Cleanup(direct.Close)
	for i := range 8 {
		serveEndpoint(b, c, fmt.Sprint("e", i), handler)
	}
	e := startEntry(b, c, func(config *entry.Config) { config.Limits.MaxQueue = 10 * ratioCallers })
	for range b.N {
		base := measure(b, direct.URL, http.MethodGet, "/plans")
		fmt.Printf("\n| target | p50 | p99 | requests/s | p50 ratio | throughput ratio |\n|---|---|---|---|---|---|\n")
		base.print("endpoint directly", base)
		measure(b, e.url, http.MethodGet, "/plans").print("entry, idempotent", base)
		measure(b, e.url, http.MethodPost, "/orders").print("entry, non-idempotent", base)
	}
}

type ratio struct {
	p50, p99 time.Duration
	rate     float64 // requests a second
}

func (r ratio) print(name string, base ratio) {
	fmt.Printf("| %s | %v | %v | %.0f | %.2f | %.2f |\n", name, r.p50.Round(time.Microsecond), r.p99.Round(time.Microsecond),
		r.rate, float64(r.p50)/float64(base.p50), r.rate/base.rate)
}

func measure(b *testing.B, url, method, path string) ratio {
	b.Helper()
	transport := &http.Transport{MaxIdleConnsPerHost: ratioCallers}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	one := func() time.Duration {
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
		one() // warm up
	}
	times := make([]time.Duration, ratioSequential)
	for i := range times {
		times[i] = one()
	}
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	begin := time.Now()
	var callers sync.WaitGroup
	for range ratioCallers {
		callers.Go(func() {
			for range ratioEach {
				one()
			}
		})
	}
	callers.Wait()
	return ratio{
		p50:  times[len(times)/2],
		p99:  times[len(times)*99/100],
		rate: ratioCallers * ratioEach / time.Since(begin).Seconds(),
	}
}
