package tomlfile

import (
	"testing"

	"github.com/matryer/is"

	"github.com/pistachioport/pistachioport/internal/finding"
)

const document = `# [comment]
a = "x # [no] \" = "
"quoted key" = 'raw \'
long = """
[not.a.header]
b = 1
"""
b = [ # comment
  1, 2,
  [3,
   4], # ]
]

[c.d] # header
e.f = {g = 1, h = [{i = 2}]}
time = 2027-01-04T00:30:00-03:00

[[c.list]]
j = 1
[[c.list]]
  [c.list.sub]
  k = '''
]'''
  [[c.list.deep]]
  l = {}
[[c.list]]
j = 3
`

func TestLinesOfKeys(t *testing.T) {
	is := is.New(t)
	var findings finding.List
	is.True(Parse("document", []byte(document), &findings) != nil)
	lines := indexLines(document)
	for path, want := range map[string]int{
		"a": 2, "quoted key": 3, "long": 4, "b": 8, "b[1]": 9, "b[2][0]": 10, "b[2][1]": 11,
		"c.d": 14, "c.d.e.f": 15, "c.d.e.f.g": 15, "c.d.e.f.h[0].i": 15, "c.d.time": 16,
		"c.list[0]": 18, "c.list[0].j": 19, "c.list[1]": 20, "c.list[1].sub.k": 22,
		"c.list[1].deep[0]": 24, "c.list[1].deep[0].l": 25, "c.list[2].j": 27,
	} {
		is.Equal(lines[path], want) // path's line
	}
	_, ok := lines["not.a.header"]
	is.True(!ok)
}

func FuzzParse(f *testing.F) {
	f.Add(document)
	f.Add("[[a]]\n[a.b]\n[[a.c]]\n'x'.y = {z = [\"\"\"\n\"\"\"\"]}")
	f.Fuzz(func(_ *testing.T, text string) {
		var findings finding.List
		table := Parse("fuzz", []byte(text), &findings)
		if table == nil {
			return
		}
		table.Time("a")
		table.Tables("b")
		table.Size("c", 0, 0, 1)
		table.ReportUnknownKeys()
	})
}
