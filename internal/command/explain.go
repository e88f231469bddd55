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

// maxLogLineBytes is the longest log line that can be read.
const maxLogLineBytes = 1 << 20

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
	matchesID bool // the line contains the ID; otherwise it is one of leadershipEvents
}

// leadershipEvents are messages about the leadership. They concern every ID, so
// explain shows them all.
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

// scanEvents returns the events of one log that contain the ID or are about the
// leadership.
func scanEvents(id string, in io.Reader) ([]logEvent, error) {
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLogLineBytes)
	var events []logEvent
	for lines.Scan() {
		line := lines.Bytes()
		jsonStart := bytes.IndexByte(line, '{')
		if jsonStart < 0 {
			continue
		}
		if event, ok := parseEvent(id, line[jsonStart:]); ok {
			events = append(events, event)
		}
	}
	return events, errors.Wrap(lines.Err(), "read the log")
}

// parseEvent parses a line of JSON. It returns false if the line is not to be shown.
func parseEvent(id string, line []byte) (logEvent, bool) {
	matchesID := bytes.Contains(line, []byte(id))
	var fields map[string]any
	decoder := json.NewDecoder(bytes.NewReader(line))
	decoder.UseNumber() // a float64 would round large run numbers
	if err := decoder.Decode(&fields); err != nil {
		return logEvent{}, false // not valid JSON, such as a truncated line
	}
	message, _ := fields["msg"].(string)
	if !matchesID && !leadershipEvents[message] {
		return logEvent{}, false
	}
	event := logEvent{message: message, matchesID: matchesID}
	event.process, _ = fields["name"].(string)
	when, _ := fields["time"].(string)
	event.at, _ = time.Parse(time.RFC3339Nano, when) // an unreadable time sorts first
	for _, column := range []string{"time", "level", "msg", "name"} {
		delete(fields, column)
	}
	event.details = flatten("", id, fields)
	return event, true
}

// flatten formats fields as key=value, sorted by key. Keys of a group get the group's
// name and a dot as a prefix. Of a list, only the elements that contain the ID are shown, if any do.
func flatten(prefix, id string, fields map[string]any) string {
	keys := make([]string, 0, len(fields))
	for key := range fields {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	var parts []string
	for _, key := range keys {
		if group, ok := fields[key].(map[string]any); ok {
			parts = append(parts, flatten(prefix+key+".", id, group))
			continue
		}
		parts = append(parts, fmt.Sprintf("%s%s=%v", prefix, key, elementsAbout(id, fields[key])))
	}
	return strings.Join(parts, " ")
}

// elementsAbout returns the elements of a list that contain the ID, or the value itself if it is no
// list or none does.
func elementsAbout(id string, value any) any {
	list, _ := value.([]any)
	var about []any
	for _, element := range list {
		if strings.Contains(fmt.Sprint(element), id) {
			about = append(about, element)
		}
	}
	if len(about) == 0 {
		return value
	}
	return about
}

// writeEvents writes the events in the order of their times, from the first that
// contains the ID.
func writeEvents(out io.Writer, id string, events []logEvent) error {
	slices.SortStableFunc(events, func(a, b logEvent) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.process, b.process))
	})
	first := slices.IndexFunc(events, func(e logEvent) bool { return e.matchesID })
	if first < 0 {
		return errors.Newf("no line of the logs names %q", id)
	}
	firstTime := events[first].at
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, event := range events[first:] {
		if _, err := fmt.Fprintf(table, "%+.3fs\t%s\t%s\t%s\n",
			event.at.Sub(firstTime).Seconds(), event.process, event.message, event.details); err != nil {
			return errors.Wrap(err, "write")
		}
	}
	return errors.Wrap(table.Flush(), "write")
}
