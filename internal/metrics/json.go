package metrics

import (
	"bytes"
	"encoding/json"
	"math"
	"strconv"
)

// jsonSample is the JSON form of one metric. Times are in seconds; NaN and infinite
// values are omitted or null.
type jsonSample struct {
	Kind      string              `json:"kind"`
	Value     *float64            `json:"value,omitempty"`
	Count     *int64              `json:"count,omitempty"`
	Sum       *float64            `json:"sum,omitempty"`
	Quantiles map[string]*float64 `json:"quantiles,omitempty"`
}

// writeJSON writes one object with a member for each metric, under its name in the
// registry.
func writeJSON(out *bytes.Buffer, samples []sample) error {
	metricsByName := map[string]jsonSample{}
	for _, s := range samples {
		metricsByName[s.Name] = toJSON(s)
	}
	return json.NewEncoder(out).Encode(metricsByName)
}

func toJSON(s sample) jsonSample {
	if s.Kind != kindSummary {
		return jsonSample{Kind: s.Kind, Value: finiteOrNil(s.Value)}
	}
	j := jsonSample{Kind: s.Kind, Count: &s.Count, Sum: finiteOrNil(s.Sum), Quantiles: map[string]*float64{}}
	for i, q := range quantiles {
		j.Quantiles[strconv.FormatFloat(q, 'g', -1, 64)] = finiteOrNil(s.Quantiles[i])
	}
	return j
}

// finiteOrNil returns nil for NaN and infinities, which JSON can't express.
func finiteOrNil(value float64) *float64 {
	if math.IsNaN(value) || math.IsInf(value, 0) {
		return nil
	}
	return &value
}
