package tomlfile

import "strings"

// more skips blanks and reports whether something stands before the end mark.
func (x *lineIndex) more(end byte) bool {
	x.skipBlank(true)
	return x.pos < len(x.text) && x.text[x.pos] != end
}

func (x *lineIndex) skipOne(c byte) {
	if x.pos < len(x.text) && x.text[x.pos] == c {
		x.pos++
	}
}

func (x *lineIndex) skipAll(set string) {
	for x.pos < len(x.text) && strings.IndexByte(set, x.text[x.pos]) >= 0 {
		x.pos++
	}
}

// skipBlank passes blanks, and line ends and comments too if lines is set.
func (x *lineIndex) skipBlank(lines bool) {
	for x.pos < len(x.text) {
		switch c := x.text[x.pos]; {
		case c == ' ' || c == '\t' || c == '\r':
			x.pos++
		case c == '\n' && lines:
			x.line++
			x.pos++
		case c == '#' && lines:
			x.bare("\n")
		default:
			return
		}
	}
}

// bare passes everything up to one of the stop bytes.
func (x *lineIndex) bare(stops string) {
	for x.pos < len(x.text) && strings.IndexByte(stops, x.text[x.pos]) < 0 {
		x.pos++
	}
}

// quoted passes a string of any of TOML's four forms.
func (x *lineIndex) quoted() {
	quote := x.text[x.pos]
	mark := string(quote)
	if triple := strings.Repeat(mark, 3); strings.HasPrefix(x.text[x.pos:], triple) {
		mark = triple
	}
	x.pos += len(mark)
	for x.pos < len(x.text) && !strings.HasPrefix(x.text[x.pos:], mark) {
		if x.text[x.pos] == '\\' && quote == '"' {
			x.pos++
		}
		if x.pos < len(x.text) && x.text[x.pos] == '\n' {
			x.line++
		}
		x.pos++
	}
	x.pos = min(x.pos+len(mark), len(x.text))
	if len(mark) == 3 {
		x.skipAll(string(quote)) // up to two quotes may stand before the mark
	}
}
