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

// loggingPackages maps the packages that log on the users' platform to the processes
// in which they run.
var loggingPackages = map[string]string{
	"internal/control": "control", "internal/daemon": "all", "internal/dispatch": "leader",
	"internal/intake": "entry", "internal/replica": "control", "platform": "all",
}

// TestPageListsTheLogEvents checks that the operators' page lists each log event of
// the code with its process and keys. With -update-events it rewrites the list.
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
	rows := make(map[string]map[string]bool) // keys by the row's first cells
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
					rowPrefix := fmt.Sprintf("| `%s` | %s |", name, process)
					if rows[rowPrefix] == nil {
						rows[rowPrefix] = make(map[string]bool)
					}
					for _, key := range keys {
						rows[rowPrefix][key] = true
					}
				}
				return true
			})
		}
	}
	var lines []string
	for rowPrefix, keys := range rows {
		var sorted []string
		for key := range keys {
			sorted = append(sorted, key)
		}
		slices.Sort(sorted)
		lines = append(lines, rowPrefix+" "+strings.Join(sorted, ", ")+" |\n")
	}
	slices.Sort(lines)
	return "| Event | Process | Keys |\n|---|---|---|\n" + strings.Join(lines, "")
}

// loggedEvent returns the event's name and keys if the node is a call of a logger's
// Info, Warn or Error with a literal message.
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

// isLogger reports whether an expression is a variable or field named logger, in any
// case.
func isLogger(x ast.Expr) bool {
	switch node := x.(type) {
	case *ast.Ident:
		return strings.EqualFold(node.Name, "logger")
	case *ast.SelectorExpr:
		return strings.EqualFold(node.Sel.Name, "logger")
	}
	return false
}

// stringLiteral returns the value of a string literal; false if the expression is none.
func stringLiteral(x ast.Expr) (string, bool) {
	node, ok := x.(*ast.BasicLit)
	if !ok || node.Kind != token.STRING {
		return "", false
	}
	text, err := strconv.Unquote(node.Value)
	return text, err == nil
}
