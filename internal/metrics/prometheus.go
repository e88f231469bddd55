package metrics

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
)

// namePrefix is prepended to every exposed metric name.
const namePrefix = "pistachioport_"

// writePrometheus writes the samples in the Prometheus text format. Metrics whose
// exposed names collide are distinguished by a label with the registry's name.
func writePrometheus(out *bytes.Buffer, samples []sample) {
	families, order := map[string][]sample{}, []string{}
	for _, s := range samples {
		name := exposedName(s)
		if families[name] == nil {
			order = append(order, name)
		}
		families[name] = append(families[name], s)
	}
	for _, name := range order {
		writeFamily(out, name, families[name])
	}
}

func writeFamily(out *bytes.Buffer, name string, family []sample) {
	kind := family[0].Kind
	for _, s := range family {
		if s.Kind != kind {
			kind = "untyped"
		}
	}
	_, _ = fmt.Fprintf(out, "# TYPE %s %s\n", name, kind)
	for _, s := range family {
		label := ""
		if len(family) > 1 {
			label = fmt.Sprintf(`name="%s"`, escapeLabel(s.Name))
		}
		writeSample(out, name, label, s)
	}
}

func writeSample(out *bytes.Buffer, name, label string, s sample) {
	if s.Kind != kindSummary {
		writeLine(out, name, s.Value, label)
		return
	}
	for i, q := range quantiles {
		writeLine(out, name, s.Quantiles[i], label, fmt.Sprintf(`quantile="%v"`, q))
	}
	writeLine(out, name+"_sum", s.Sum, label)
	writeLine(out, name+"_count", float64(s.Count), label)
}

func writeLine(out *bytes.Buffer, name string, value float64, labels ...string) {
	var nonEmpty []string
	for _, label := range labels {
		if label != "" {
			nonEmpty = append(nonEmpty, label)
		}
	}
	out.WriteString(name)
	if len(nonEmpty) > 0 {
		out.WriteString("{" + strings.Join(nonEmpty, ",") + "}")
	}
	out.WriteByte(' ')
	out.WriteString(strconv.FormatFloat(value, 'g', -1, 64))
	out.WriteByte('\n')
}

// exposedName returns the Prometheus name of a metric, with its unit and, for
// counters, _total as suffixes: the counter entry.requests.done becomes
// pistachioport_entry_requests_done_total.
func exposedName(s sample) string {
	name := namePrefix + strings.Map(func(r rune) rune {
		if r == '_' || r >= '0' && r <= '9' || r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' {
			return r
		}
		return '_'
	}, s.Name)
	if s.Unit != "" {
		name += "_" + s.Unit
	}
	if s.Kind == kindCounter && !strings.HasSuffix(name, "_total") {
		name += "_total"
	}
	return name
}

// escapeLabel escapes a label value and replaces invalid UTF-8.
func escapeLabel(value string) string {
	return strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`).Replace(strings.ToValidUTF8(value, "\uFFFD"))
}
