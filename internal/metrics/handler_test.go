package metrics_test

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/pistachioport/pistachioport/internal/metrics"
)

func newTestRegistry(t *testing.T) gometrics.Registry {
	t.Helper()
	r := gometrics.NewRegistry()
	gometrics.GetOrRegisterCounter("entry.requests.done", r).Inc(7)
	gometrics.GetOrRegisterGauge("entry.queue-length", r).Update(3)
	gometrics.GetOrRegisterGaugeFloat64("entry.share", r).Update(0.25)
	gometrics.GetOrRegisterTimer("control.commit", r).Update(2 * time.Millisecond)
	gometrics.GetOrRegisterHistogram("control.batch", r, gometrics.NewUniformSample(16)).Update(5)
	return r
}

func get(t *testing.T, handler http.Handler, target string) (int, string, http.Header) {
	t.Helper()
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, target, nil))
	body, err := io.ReadAll(recorder.Body)
	if err != nil {
		t.Fatal(err)
	}
	return recorder.Code, string(body), recorder.Header()
}

const wantText = `# TYPE pistachioport_control_batch summary
pistachioport_control_batch{quantile="0.5"} 5
pistachioport_control_batch{quantile="0.9"} 5
pistachioport_control_batch{quantile="0.99"} 5
pistachioport_control_batch_sum 5
pistachioport_control_batch_count 1
# TYPE pistachioport_control_commit_seconds summary
pistachioport_control_commit_seconds{quantile="0.5"} 0.002
pistachioport_control_commit_seconds{quantile="0.9"} 0.002
pistachioport_control_commit_seconds{quantile="0.99"} 0.002
pistachioport_control_commit_seconds_sum 0.002
pistachioport_control_commit_seconds_count 1
# TYPE pistachioport_entry_queue_length gauge
pistachioport_entry_queue_length 3
# TYPE pistachioport_entry_requests_done_total counter
pistachioport_entry_requests_done_total 7
# TYPE pistachioport_entry_share gauge
pistachioport_entry_share 0.25
`

func TestPrometheusFormat(t *testing.T) {
	is := is.New(t)
	status, body, header := get(t, metrics.Handler(newTestRegistry(t)), "/metrics")
	is.Equal(status, http.StatusOK)
	is.True(strings.HasPrefix(header.Get("Content-Type"), "text/plain; version=0.0.4"))
	is.Equal(body, wantText)
}

func TestJSONFormat(t *testing.T) {
	is := is.New(t)
	r := newTestRegistry(t)
	gometrics.GetOrRegisterGaugeFloat64("entry.nan", r).Update(nan())
	status, body, _ := get(t, metrics.Handler(r), "/metrics?format=json")
	is.Equal(status, http.StatusOK)
	var metricsByName map[string]struct {
		Kind  string   `json:"kind"`
		Value *float64 `json:"value"`
		Count int64    `json:"count"`
	}
	is.NoErr(json.Unmarshal([]byte(body), &metricsByName))
	is.Equal(*metricsByName["entry.requests.done"].Value, 7.0)
	is.Equal(metricsByName["control.commit"].Count, int64(1))
	is.Equal(metricsByName["entry.nan"].Value, nil)
}

func nan() float64 {
	var zero float64
	return zero / zero
}

func TestCollidingNamesAreDistinguishedByLabel(t *testing.T) {
	is := is.New(t)
	r := gometrics.NewRegistry()
	gometrics.GetOrRegisterGauge("a.b", r).Update(1)
	gometrics.GetOrRegisterGauge("a\"b", r).Update(2)
	gometrics.GetOrRegisterGauge("a\n\xff", r).Update(4)
	gometrics.GetOrRegisterGauge("a-b", r).Update(3)
	_, body, _ := get(t, metrics.Handler(r), "/metrics")
	is.Equal(strings.Count(body, "# TYPE pistachioport_a_b gauge\n"), 1)
	is.True(strings.Contains(body, `pistachioport_a_b{name="a.b"} 1`+"\n"))
	is.True(strings.Contains(body, `pistachioport_a_b{name="a-b"} 3`+"\n"))
	is.True(strings.Contains(body, `pistachioport_a_b{name="a\"b"} 2`+"\n"))
	is.True(strings.Contains(body, "pistachioport_a__ 4\n"))
}

func TestInvalidRequestsAreRejected(t *testing.T) {
	is := is.New(t)
	handler := metrics.Handler(newTestRegistry(t))
	status, _, _ := get(t, handler, "/metrics?format=xml")
	is.Equal(status, http.StatusBadRequest)
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/metrics", strings.NewReader("x")))
	is.Equal(recorder.Code, http.StatusMethodNotAllowed)
}

func TestProcessMetrics(t *testing.T) {
	is := is.New(t)
	r := gometrics.NewRegistry()
	is.NoErr(metrics.RegisterProcess(r, time.Unix(1799010000, 0)))
	is.True(metrics.RegisterProcess(r, time.Now()) != nil) // the names are taken
	_, body, _ := get(t, metrics.Handler(r), "/metrics")
	for _, name := range []string{"process_cpu_seconds", "process_memory_bytes", "process_goroutines"} {
		is.True(strings.Contains(body, "# TYPE pistachioport_"+name+" gauge\n"))
	}
	is.True(strings.Contains(body, "pistachioport_process_start_unix_seconds 1.79901e+09\n"))
}
