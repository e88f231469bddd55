package entry

import (
	"io"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// closedBody is a caller's body that net/http has closed because the entry began
// its response: reading past its length fails.
type closedBody struct{ left string }

func (c *closedBody) Read(p []byte) (int, error) {
	if c.left == "" {
		return 0, http.ErrBodyReadAfterClose
	}
	n := copy(p, c.left)
	c.left = c.left[n:]
	return n, nil
}

func (c *closedBody) Close() error { return nil }

// The Transport reads a body of known length up to io.EOF, and the response may
// have begun by then. An error from reading the caller's closed body would close
// the endpoint's connection in the middle of that response.
func TestStreamedBodyEndsAtItsLength(t *testing.T) {
	is := is.New(t)
	b := newStreamedBody(&http.Request{Body: &closedBody{left: "order"}, ContentLength: 5}, 100)
	whole, err := io.ReadAll(b.newReader())
	is.NoErr(err)
	is.Equal(string(whole), "order")
}

// A body that ends before its length must not be taken for a complete one.
func TestStreamedBodyEndsBeforeItsLength(t *testing.T) {
	is := is.New(t)
	b := newStreamedBody(&http.Request{Body: io.NopCloser(&io.LimitedReader{R: &closedBody{left: "order"}, N: 3}), ContentLength: 5}, 100)
	_, err := io.ReadAll(b.newReader())
	is.Equal(err, io.ErrUnexpectedEOF)
}
