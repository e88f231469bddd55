package tomlfile

import (
	"fmt"
	"strings"
)

// lineIndex finds the line of every key of a text that is valid TOML. Paths
// have the form control.members[1].address.
type lineIndex struct {
	text   string
	pos    int
	line   int
	counts map[string]int // elements of each array of tables so far
	found  map[string]int
}

// indexLines returns the line of each key, table and array element.
func indexLines(text string) map[string]int {
	x := &lineIndex{text: text, line: 1, counts: map[string]int{}, found: map[string]int{}}
	prefix := ""
	for x.skipBlank(true); x.pos < len(x.text); x.skipBlank(true) {
		if x.text[x.pos] == '[' {
			prefix = x.header()
			continue
		}
		x.assignment(prefix)
	}
	return x.found
}

// header reads [a.b] or [[a.b]] and returns its path.
func (x *lineIndex) header() string {
	line := x.line
	array := strings.HasPrefix(x.text[x.pos:], "[[")
	x.skipAll("[")
	parts := x.key()
	x.skipAll("]")
	path := ""
	for i, part := range parts {
		path = join(path, part)
		x.note(path, line)
		if n := x.counts[path]; n > 0 && (i < len(parts)-1 || !array) {
			path = element(path, n-1)
		}
	}
	if array {
		x.counts[path]++
		path = element(path, x.counts[path]-1)
	}
	x.note(path, line)
	return path
}

// assignment reads key = value below the given path.
func (x *lineIndex) assignment(prefix string) {
	line := x.line
	path := prefix
	parts := x.key()
	for _, part := range parts {
		path = join(path, part)
		x.note(path, line)
	}
	x.skipBlank(false)
	x.skipAll("=")
	x.skipBlank(false)
	x.value(path)
	if len(parts) == 0 {
		x.pos++ // not reached in valid text; guards against a standstill
	}
}

// key reads a dotted key.
func (x *lineIndex) key() []string {
	var parts []string
	for x.pos < len(x.text) {
		x.skipBlank(false)
		start := x.pos
		switch {
		case x.pos < len(x.text) && strings.IndexByte(`"'`, x.text[x.pos]) >= 0:
			x.quoted()
			parts = append(parts, strings.Trim(x.text[start:x.pos], `"'`))
		default:
			x.bare(" \t\r\n.=]")
			if x.pos > start {
				parts = append(parts, x.text[start:x.pos])
			}
		}
		x.skipBlank(false)
		if x.pos >= len(x.text) || x.text[x.pos] != '.' {
			break
		}
		x.pos++
	}
	return parts
}

// value passes one value and notes the elements and keys inside it.
func (x *lineIndex) value(path string) {
	if x.pos >= len(x.text) {
		return
	}
	switch x.text[x.pos] {
	case '"', '\'':
		x.quoted()
	case '[':
		x.array(path)
	case '{':
		x.inlineTable(path)
	default:
		x.bare(",]}\n#")
	}
}

func (x *lineIndex) array(path string) {
	x.pos++
	for i := 0; x.more(']'); i++ {
		x.note(element(path, i), x.line)
		x.value(element(path, i))
		x.skipBlank(true)
		x.skipOne(',')
	}
	x.skipOne(']')
}

func (x *lineIndex) inlineTable(path string) {
	x.pos++
	for x.more('}') {
		x.assignment(path)
		x.skipBlank(true)
		x.skipOne(',')
	}
	x.skipOne('}')
}

func (x *lineIndex) note(path string, line int) {
	if _, ok := x.found[path]; !ok {
		x.found[path] = line
	}
}

func join(prefix, part string) string {
	if prefix == "" {
		return part
	}
	return prefix + "." + part
}

func element(path string, i int) string {
	return fmt.Sprintf("%s[%d]", path, i)
}
