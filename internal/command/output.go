package command

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// outputFormat is the value of --output.
type outputFormat string

const (
	outputTable outputFormat = "table"
	outputJSON  outputFormat = "json"
)

// String returns the format's name.
func (f *outputFormat) String() string { return string(*f) }

// Type returns the flag's type for help texts.
func (f *outputFormat) Type() string { return "format" }

// Set parses the format's name.
func (f *outputFormat) Set(text string) error {
	switch format := outputFormat(text); format {
	case outputTable, outputJSON:
		*f = format
		return nil
	default:
		return errors.Newf("unknown output format %q; allowed: table, json", text)
	}
}

// table is a command's output in the table format.
type table struct {
	header []string
	rows   [][]string
}

// add appends a row. Empty cells are shown as "-".
func (t *table) add(cells ...any) {
	row := make([]string, len(cells))
	for i, cell := range cells {
		row[i] = fmt.Sprint(cell)
		if row[i] == "" {
			row[i] = "-"
		}
	}
	t.rows = append(t.rows, row)
}

// write writes the table with aligned columns.
func (t *table) write(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if _, err := fmt.Fprintln(w, strings.Join(t.header, "\t")); err != nil {
		return errors.Wrap(err, "write table")
	}
	for _, row := range t.rows {
		if _, err := fmt.Fprintln(w, strings.Join(row, "\t")); err != nil {
			return errors.Wrap(err, "write table")
		}
	}
	return errors.Wrap(w.Flush(), "write table")
}

// show writes the message as JSON or, in the table format, the tables.
func (s *session) show(message proto.Message, tables ...*table) error {
	if s.output == outputJSON {
		return writeMessage(s.environment.Out, message)
	}
	for i, t := range tables {
		if i > 0 {
			_, _ = fmt.Fprintln(s.environment.Out)
		}
		if err := t.write(s.environment.Out); err != nil {
			return err
		}
	}
	return nil
}

// writeMessage writes the message as indented JSON. The whitespace of protojson varies
// from run to run, so the JSON is indented again.
func writeMessage(out io.Writer, message proto.Message) error {
	raw, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(message)
	if err != nil {
		return errors.Wrap(err, "encode answer")
	}
	var indented bytes.Buffer
	if err := json.Indent(&indented, raw, "", "  "); err != nil {
		return errors.Wrap(err, "encode answer")
	}
	indented.WriteByte('\n')
	_, err = out.Write(indented.Bytes())
	return errors.Wrap(err, "write answer")
}

// writeJSON writes a plain value as indented JSON.
func writeJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(value), "write answer")
}
