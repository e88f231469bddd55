package command

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
)

// maxLogLineBytes bounds a line of the logs that are read.
const maxLogLineBytes = 1 << 20 // bytes

func newExplainCommand(s *session) *cobra.Command {
	return &cobra.Command{
		Use:   "explain ID [FILE...]",
		Short: "Shows what the logs of all processes say of a job, worker or request, in order",
		Long: `explain reads the processes' logs, from the files or from standard input, and shows
the lines that name the ID, and the changes of leadership meanwhile, in the order
of their times. What stands before a line's first brace is passed over.`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			events, err := readEvents(arguments[0], arguments[1:], command.InOrStdin())
			if err != nil {
				return err
			}
			return writeEvents(s.environment.Out, arguments[0], events)
		},
	}
}

// logEvent is one line of a process's log.
type logEvent struct {
	at        time.Time
	process   string
	message   string
	details   string
	matchesID bool // it names the id; else it tells of the leadership
}

// leadershipEvents concern every job.
var leadershipEvents = map[string]bool{
	"took over": true, "leader duties began": true, "leader duties ended": true, "leadership not confirmed": true,
	"all workers of the predecessor are settled": true,
}

func readEvents(id string, files []string, in io.Reader) ([]logEvent, error) {
	if len(files) == 0 {
		return scanEvents(id, in)
	}
	var all []logEvent
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return nil, errors.Wrap(err, "open the log")
		}
		events, err := scanEvents(id, file)
		_ = file.Close() // it was only read
		if err != nil {
			return nil, errors.Wrapf(err, "read %s", name)
		}
		all = append(all, events...)
	}
	return all, nil
}

func scanEvents(id string, in io.Reader) ([]logEvent, error) {
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLogLineBytes)
	var events []logEvent
	for lines.Scan() {
		line := lines.Bytes()
		begin := bytes.IndexByte(line, '{')
		if begin < 0 {
			continue
		}
		if event, ok := parseEvent(id, line[begin:]); ok {
			events = append(events, event)
		}
	}
	return events, errors.Wrap(lines.Err(), "read the log")
}

func parseEvent(id string, line []byte) (logEvent, bool) {
	matchesID := bytes.Contains(line, []byte(id))
	var fields map[string]any
	decoder := json.NewDecoder(bytes.NewReader(line))
	decoder.UseNumber() // run numbers are long
	if err := decoder.Decode(&fields); err != nil {
		return logEvent{}, false // a line that was cut off
	}
	message, _ := fields["msg"].(string)
	if !matchesID && !leadershipEvents[message] {
		return logEvent{}, false
	}
	event := logEvent{message: message, matchesID: matchesID}
	event.process, _ = fields["name"].(string)
	when, _ := fields["time"].(string)
	event.at, _ = time.Parse(time.RFC3339Nano, when) // an unreadable time sorts first
	for _, shown := range []string{"time", "level", "msg", "name"} {
		delete(fields, shown)
	}
	event.details = flatten("", fields)
	return event, true
}

// flatten writes fields as key=value, sorted by key.
func flatten(prefix string, fields map[string]any) string {
	keys := make([]string, 0, len(fields))
	for key := range fields {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	var parts []string
	for _, key := range keys {
		if group, ok := fields[key].(map[string]any); ok {
			parts = append(parts, flatten(prefix+key+".", group))
			continue
		}
		parts = append(parts, fmt.Sprintf("%s%s=%v", prefix, key, fields[key]))
	}
	return strings.Join(parts, " ")
}

func writeEvents(out io.Writer, id string, events []logEvent) error {
	slices.SortStableFunc(events, func(a, b logEvent) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.process, b.process))
	})
	first := slices.IndexFunc(events, func(e logEvent) bool { return e.matchesID })
	if first < 0 {
		return errors.Newf("no line of the logs names %q", id)
	}
	begin := events[first].at
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, event := range events[first:] {
		if _, err := fmt.Fprintf(table, "%+.3fs\t%s\t%s\t%s\n",
			event.at.Sub(begin).Seconds(), event.process, event.message, event.details); err != nil {
			return errors.Wrap(err, "write")
		}
	}
	return errors.Wrap(table.Flush(), "write")
}
