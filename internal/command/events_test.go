package command

import (
	"flag"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

var updateEvents = flag.Bool("update-events", false, "write the table of log events into docs/OPERATIONS.md")

const (
	operationsPage = "../../docs/OPERATIONS.md"
	eventsBegin    = "<!-- events: written by go test ./internal/command -update-events -->\n"
	eventsEnd      = "<!-- end of events -->\n"
)

// loggingPackages are the packages that log on the users' platform, with the
// processes that they run in.
var loggingPackages = map[string]string{
	"internal/control": "control", "internal/daemon": "all", "internal/dispatch": "leader",
	"internal/intake": "entry", "internal/replica": "control", "platform": "all",
}

// TestPageListsTheLogEvents checks that the operators' page lists each log event
// of the code with its keys.
func TestPageListsTheLogEvents(t *testing.T) {
	table := eventTable(t)
	page, err := os.ReadFile(operationsPage)
	if err != nil {
		t.Fatal(err)
	}
	before, rest, found := strings.Cut(string(page), eventsBegin)
	listed, after, closed := strings.Cut(rest, eventsEnd)
	if !found || !closed {
		t.Fatalf("%s has no section for the events", operationsPage)
	}
	if *updateEvents {
		text := before + eventsBegin + table + eventsEnd + after
		if err := os.WriteFile(operationsPage, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if listed != table {
		t.Errorf("%s does not list the events of the code; renew it with -update-events and read the difference", operationsPage)
	}
}

// eventTable returns a row for each event: its name, the processes that log it,
// and its keys in the order of the code.
func eventTable(t *testing.T) string {
	t.Helper()
	rows := make(map[string]map[string]bool) // keys by row's beginning
	for folder, process := range loggingPackages {
		files, err := filepath.Glob(filepath.Join("../..", folder, "*.go"))
		if err != nil {
			t.Fatal(err)
		}
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
			if err != nil {
				t.Fatal(err)
			}
			ast.Inspect(parsed, func(n ast.Node) bool {
				if name, keys, ok := loggedEvent(n); ok {
					begin := fmt.Sprintf("| `%s` | %s |", name, process)
					if rows[begin] == nil {
						rows[begin] = make(map[string]bool)
					}
					for _, key := range keys {
						rows[begin][key] = true
					}
				}
				return true
			})
		}
	}
	var lines []string
	for begin, keys := range rows {
		var sorted []string
		for key := range keys {
			sorted = append(sorted, key)
		}
		slices.Sort(sorted)
		lines = append(lines, begin+" "+strings.Join(sorted, ", ")+" |\n")
	}
	slices.Sort(lines)
	return "| Event | Process | Keys |\n|---|---|---|\n" + strings.Join(lines, "")
}

// loggedEvent returns the event's name and keys if the node is a call of a logger.
func loggedEvent(n ast.Node) (name string, keys []string, ok bool) {
	call, isCall := n.(*ast.CallExpr)
	if !isCall || len(call.Args) == 0 {
		return "", nil, false
	}
	method, isMethod := call.Fun.(*ast.SelectorExpr)
	if !isMethod || !slices.Contains([]string{"Info", "Warn", "Error"}, method.Sel.Name) || !isLogger(method.X) {
		return "", nil, false
	}
	if name, ok = stringLiteral(call.Args[0]); !ok {
		return "", nil, false
	}
	for _, argument := range call.Args[1:] {
		key, isKey := stringLiteral(argument)
		if inner, isGroup := argument.(*ast.CallExpr); isGroup && fmt.Sprint(inner.Fun) == "logRun" {
			key, isKey = "run", true
		}
		if isKey {
			keys = append(keys, key)
		}
	}
	return name, keys, true
}

// isLogger reports whether an expression is named as the loggers are.
func isLogger(x ast.Expr) bool {
	switch one := x.(type) {
	case *ast.Ident:
		return strings.EqualFold(one.Name, "logger")
	case *ast.SelectorExpr:
		return strings.EqualFold(one.Sel.Name, "logger")
	}
	return false
}

func stringLiteral(x ast.Expr) (string, bool) {
	one, ok := x.(*ast.BasicLit)
	if !ok || one.Kind != token.STRING {
		return "", false
	}
	text, err := strconv.Unquote(one.Value)
	return text, err == nil
}
