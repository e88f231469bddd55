package entry

import (
	"io"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// closedAfter is a caller's body that net/http has closed once the entry began
// its answer: whoever reads past the length gets an error.
type closedAfter struct{ left string }

func (c *closedAfter) Read(p []byte) (int, error) {
	if c.left == "" {
		return 0, http.ErrBodyReadAfterClose
	}
	n := copy(p, c.left)
	c.left = c.left[n:]
	return n, nil
}

func (c *closedAfter) Close() error { return nil }

// The Transport looks for the end of a body of known length while the answer
// may already be on its way back. Reading the caller's closed body then would
// close the connection in the middle of that answer.
func TestStreamedBodyEndsAtItsLength(t *testing.T) {
	is := is.New(t)
	b := newStreamedBody(&http.Request{Body: &closedAfter{left: "order"}, ContentLength: 5}, 100)
	whole, err := io.ReadAll(b.newReader())
	is.NoErr(err)
	is.Equal(string(whole), "order")
}

// A body that ends before its length is not taken for a whole one.
func TestStreamedBodyCutShort(t *testing.T) {
	is := is.New(t)
	b := newStreamedBody(&http.Request{Body: io.NopCloser(&io.LimitedReader{R: &closedAfter{left: "order"}, N: 3}), ContentLength: 5}, 100)
	_, err := io.ReadAll(b.newReader())
	is.Equal(err, io.ErrUnexpectedEOF)
}
