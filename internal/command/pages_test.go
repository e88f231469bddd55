package command

import (
	"bytes"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// commandOnPage matches the tool's name and arguments in a page's text or examples.
var commandOnPage = regexp.MustCompile("pistachioctl((?: +[^ `|>#\\n]+)+)")

// TestPagesNameExistingCommands checks that every call of the tool on the
// operators' pages names an existing subcommand with existing flags and the
// right number of arguments.
func TestPagesNameExistingCommands(t *testing.T) {
	pages, err := filepath.Glob("../../docs/operations/*.md")
	if err != nil || len(pages) == 0 {
		t.Fatalf("found no pages: %v", err)
	}
	calls := 0
	for _, page := range append(pages, "../../README.md") {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, match := range commandOnPage.FindAllStringSubmatch(string(text), -1) {
			arguments := strings.Fields(match[1])
			if isProse(arguments[0]) {
				continue
			}
			calls++
			if err := parseCall(arguments); err != nil {
				t.Errorf("%s: pistachioctl %s: %v", filepath.Base(page), strings.Join(arguments, " "), err)
			}
		}
	}
	if calls < 20 {
		t.Errorf("found %d calls on the pages; the pattern misses some", calls)
	}
}

// isProse reports whether the word after the tool's name continues a sentence about
// the tool, and so is no subcommand.
func isProse(word string) bool {
	for _, verb := range []string{"checks", "finds", "ends", "and"} {
		if word == verb {
			return true
		}
	}
	return false
}

// parseCall parses the arguments and checks them as the tool does before it runs a
// command.
func parseCall(arguments []string) error {
	var out bytes.Buffer
	root := newRoot(Environment{Out: &out, Err: &out})
	root.InitDefaultCompletionCmd(arguments...)
	found, rest, err := root.Find(arguments)
	if err != nil {
		return err
	}
	if err := found.ParseFlags(rest); err != nil {
		return err
	}
	return found.ValidateArgs(found.Flags().Args())
}
