package metrics

import (
	"bytes"
	"net/http"

	gometrics "github.com/rcrowley/go-metrics"
)

// Handler serves the registry's metrics in the Prometheus text format, or as
// JSON if the query has format=json.
func Handler(registry gometrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet && r.Method != http.MethodHead {
			w.Header().Set("Allow", "GET, HEAD")
			http.Error(w, "metrics can only be read", http.StatusMethodNotAllowed)
			return
		}
		var out bytes.Buffer
		switch format := r.URL.Query().Get("format"); format {
		case "", "prometheus":
			w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
			writePrometheus(&out, collectSamples(registry))
		case "json":
			w.Header().Set("Content-Type", "application/json")
			if err := writeJSON(&out, collectSamples(registry)); err != nil {
				http.Error(w, err.Error(), http.StatusInternalServerError)
				return
			}
		default:
			http.Error(w, "unknown format; allowed: prometheus, json", http.StatusBadRequest)
			return
		}
		_, _ = w.Write(out.Bytes())
	})
}
