package tomlfile

import (
	"fmt"
	"strings"
)

// lineIndexer records the line of every key in a text, which must be valid TOML.
// A key's path has the form control.members[1].address.
type lineIndexer struct {
	text         string
	pos          int
	line         int
	arrayLengths map[string]int // elements of each array of tables so far, by its path
	lines        map[string]int
}

// indexLines returns the line, starting at 1, of each key, table and array element
// by its path.
func indexLines(text string) map[string]int {
	x := &lineIndexer{text: text, line: 1, arrayLengths: map[string]int{}, lines: map[string]int{}}
	prefix := ""
	for x.skipWhitespace(true); x.pos < len(x.text); x.skipWhitespace(true) {
		if x.text[x.pos] == '[' {
			prefix = x.indexHeader()
			continue
		}
		x.indexAssignment(prefix)
	}
	return x.lines
}

// indexHeader reads a table header, [a.b] or [[a.b]], and returns the table's path.
// In the path of a header below an array of tables, the index is that of the array's
// latest element.
func (x *lineIndexer) indexHeader() string {
	line := x.line
	isArray := strings.HasPrefix(x.text[x.pos:], "[[")
	x.skipAny("[")
	parts := x.readKey()
	x.skipAny("]")
	path := ""
	for i, part := range parts {
		path = joinPath(path, part)
		x.recordLine(path, line)
		if n := x.arrayLengths[path]; n > 0 && (i < len(parts)-1 || !isArray) {
			path = elementPath(path, n-1)
		}
	}
	if isArray {
		x.arrayLengths[path]++
		path = elementPath(path, x.arrayLengths[path]-1)
	}
	x.recordLine(path, line)
	return path
}

// indexAssignment reads "key = value" in the table with the given path.
func (x *lineIndexer) indexAssignment(prefix string) {
	line := x.line
	path := prefix
	parts := x.readKey()
	for _, part := range parts {
		path = joinPath(path, part)
		x.recordLine(path, line)
	}
	x.skipWhitespace(false)
	x.skipAny("=")
	x.skipWhitespace(false)
	x.indexValue(path)
	if len(parts) == 0 {
		x.pos++ // not reached in valid TOML; avoids an endless loop otherwise
	}
}

// readKey reads a dotted key and returns its parts without quotes.
func (x *lineIndexer) readKey() []string {
	var parts []string
	for x.pos < len(x.text) {
		x.skipWhitespace(false)
		start := x.pos
		switch {
		case x.pos < len(x.text) && strings.IndexByte(`"'`, x.text[x.pos]) >= 0:
			x.skipString()
			parts = append(parts, strings.Trim(x.text[start:x.pos], `"'`))
		default:
			x.skipUntil(" \t\r\n.=]")
			if x.pos > start {
				parts = append(parts, x.text[start:x.pos])
			}
		}
		x.skipWhitespace(false)
		if x.pos >= len(x.text) || x.text[x.pos] != '.' {
			break
		}
		x.pos++
	}
	return parts
}

// indexValue skips one value and records the lines of elements and keys in it.
func (x *lineIndexer) indexValue(path string) {
	if x.pos >= len(x.text) {
		return
	}
	switch x.text[x.pos] {
	case '"', '\'':
		x.skipString()
	case '[':
		x.indexArray(path)
	case '{':
		x.indexInlineTable(path)
	default:
		x.skipUntil(",]}\n#")
	}
}

// indexArray skips an array and records the lines of its elements.
func (x *lineIndexer) indexArray(path string) {
	x.pos++
	for i := 0; x.skipToElement(']'); i++ {
		x.recordLine(elementPath(path, i), x.line)
		x.indexValue(elementPath(path, i))
		x.skipWhitespace(true)
		x.skipByte(',')
	}
	x.skipByte(']')
}

// indexInlineTable skips an inline table and records the lines of its keys.
func (x *lineIndexer) indexInlineTable(path string) {
	x.pos++
	for x.skipToElement('}') {
		x.indexAssignment(path)
		x.skipWhitespace(true)
		x.skipByte(',')
	}
	x.skipByte('}')
}

// recordLine records the line of a path, unless it already has one.
func (x *lineIndexer) recordLine(path string, line int) {
	if _, ok := x.lines[path]; !ok {
		x.lines[path] = line
	}
}

func joinPath(prefix, part string) string {
	if prefix == "" {
		return part
	}
	return prefix + "." + part
}

// elementPath returns the path of element i of the array at path.
func elementPath(path string, i int) string {
	return fmt.Sprintf("%s[%d]", path, i)
}
