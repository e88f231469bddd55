package tomlfile

import "strings"

// skipToElement skips whitespace and comments. It reports whether an element
// follows, rather than the closing bracket or the end of the text.
func (x *lineIndexer) skipToElement(closing byte) bool {
	x.skipWhitespace(true)
	return x.pos < len(x.text) && x.text[x.pos] != closing
}

// skipByte skips the next byte if it is c.
func (x *lineIndexer) skipByte(c byte) {
	if x.pos < len(x.text) && x.text[x.pos] == c {
		x.pos++
	}
}

// skipAny skips all bytes up to the first one that is not in the set.
func (x *lineIndexer) skipAny(set string) {
	for x.pos < len(x.text) && strings.IndexByte(set, x.text[x.pos]) >= 0 {
		x.pos++
	}
}

// skipWhitespace skips spaces, tabs and carriage returns, and with multiline also
// newlines and comments.
func (x *lineIndexer) skipWhitespace(multiline bool) {
	for x.pos < len(x.text) {
		switch c := x.text[x.pos]; {
		case c == ' ' || c == '\t' || c == '\r':
			x.pos++
		case c == '\n' && multiline:
			x.line++
			x.pos++
		case c == '#' && multiline:
			x.skipUntil("\n")
		default:
			return
		}
	}
}

// skipUntil skips everything before the next stop byte. It doesn't count lines, so
// the skipped text must not hold newlines.
func (x *lineIndexer) skipUntil(stops string) {
	for x.pos < len(x.text) && strings.IndexByte(stops, x.text[x.pos]) < 0 {
		x.pos++
	}
}

// skipString skips a string of any of TOML's four forms: basic or literal, on one
// line or on several.
func (x *lineIndexer) skipString() {
	quote := x.text[x.pos]
	delimiter := string(quote)
	if triple := strings.Repeat(delimiter, 3); strings.HasPrefix(x.text[x.pos:], triple) {
		delimiter = triple
	}
	x.pos += len(delimiter)
	for x.pos < len(x.text) && !strings.HasPrefix(x.text[x.pos:], delimiter) {
		if x.text[x.pos] == '\\' && quote == '"' {
			x.pos++
		}
		if x.pos < len(x.text) && x.text[x.pos] == '\n' {
			x.line++
		}
		x.pos++
	}
	x.pos = min(x.pos+len(delimiter), len(x.text))
	if len(delimiter) == 3 {
		x.skipAny(string(quote)) // up to two quotes may precede the closing delimiter
	}
}
