package failure_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// dayRow holds the measurements after one fault of a day.
type dayRow struct {
	fault       string
	began       time.Time
	returned    time.Time // when all processes had been started again
	ended       time.Time // when the next fault began
	lostDisks   int
	noLeader    time.Duration // from began to ended
	published   time.Duration // from returned; negative: not within the bounds
	disturbance string        // until the next fault; "": none
	calls       memberCalls
	load        string
}

// memberCalls are the times of calls between members, of the slowest of the members. Each remembers its last calls.
type memberCalls struct {
	median, slowest time.Duration // 0.5 and 0.99 quantiles
	overtaken       int64         // of all members since their starts
}

// membershipChange is a change that a leader has made.
type membershipChange struct {
	at   time.Time
	kind string
}

// readMemberCalls reads the metrics of the control processes.
func (c *soakCell) readMemberCalls() memberCalls {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	var found memberCalls
	for _, p := range c.currentControl() {
		response, err := client.Get("http://" + p.directAddress(0) + "/metrics?format=json")
		if err != nil {
			continue
		}
		var metrics map[string]struct {
			Value     float64            `json:"value"`
			Quantiles map[string]float64 `json:"quantiles"`
		}
		err = json.NewDecoder(response.Body).Decode(&metrics)
		_ = response.Body.Close()
		if err != nil {
			continue
		}
		seconds := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
		quantiles := metrics["replica.calls"].Quantiles
		found.median = max(found.median, seconds(quantiles["0.5"]))
		found.slowest = max(found.slowest, seconds(quantiles["0.99"]))
		found.overtaken += int64(metrics["replica.calls.overtaken"].Value)
	}
	return found
}

// readMembershipChanges returns the changes that the control processes have logged as made, in order.
func (c *soakCell) readMembershipChanges() []membershipChange {
	var found []membershipChange
	for _, p := range slices.Concat(c.lostVMs, c.daemons()) {
		if !p.servesControl() {
			continue
		}
		file, err := os.Open(p.logPath)
		if err != nil {
			c.t.Error(err)
			continue
		}
		lines := bufio.NewScanner(file)
		for lines.Scan() {
			var line struct {
				Time                 time.Time
				Msg, Change, Outcome string
			}
			if strings.Contains(lines.Text(), "membership change attempted") && json.Unmarshal(lines.Bytes(), &line) == nil && line.Outcome == "applied" {
				found = append(found, membershipChange{line.Time, line.Change})
			}
		}
		_ = file.Close()
	}
	slices.SortFunc(found, func(a, b membershipChange) int { return a.at.Compare(b.at) })
	return found
}

// machineLoad returns the load averages of the machine.
func machineLoad() string {
	data, err := os.ReadFile("/proc/loadavg")
	fields := strings.Fields(string(data))
	if err != nil || len(fields) == 0 {
		return "?"
	}
	return fields[0]
}

// dayTable formats the rows. A replacement has ended with the last change of the membership before the next fault.
func dayTable(start time.Time, rows []dayRow, changes []membershipChange) string {
	var out strings.Builder
	table := tabwriter.NewWriter(&out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "at\tdown\tno leader\tpublication\tdisks lost\tchanges\tlast change\tcalls 0.5\tcalls 0.99\tovertaken\tload\tfault; then")
	for _, row := range rows {
		made, last := 0, "-"
		for _, change := range changes {
			if change.at.After(row.began) && change.at.Before(row.ended) {
				made++
				last = seconds(change.at.Sub(row.returned))
			}
		}
		published := "none"
		if row.published >= 0 {
			published = seconds(row.published)
		}
		name := row.fault
		if row.disturbance != "" {
			name += "; " + row.disturbance
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%d\t%s\t%s\t%s\t%d\t%s\t%s\n",
			seconds(row.began.Sub(start)), seconds(row.returned.Sub(row.began)), seconds(row.noLeader), published, row.lostDisks, made, last,
			row.calls.median.Round(100*time.Microsecond), row.calls.slowest.Round(100*time.Microsecond), row.calls.overtaken, row.load, name)
	}
	_ = table.Flush()
	return out.String()
}

func seconds(d time.Duration) string { return fmt.Sprintf("%.1f s", d.Seconds()) }
