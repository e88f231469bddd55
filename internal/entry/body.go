package entry

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// body is a caller's request body: whole in memory, or streamed once.
type body struct {
	whole    []byte
	buffered bool
	stream   io.Reader // the rest, or all, when not buffered
	length   int64     // -1: not known
	trailer  http.Header
	begun    atomic.Bool // the stream was read from
}

// memory is the budget for buffered bodies. It is safe for concurrent use.
type memory struct {
	limit int64
	used  atomic.Int64
}

func (m *memory) take(bytes int64) bool {
	if m.used.Add(bytes) > m.limit {
		m.used.Add(-bytes)
		return false
	}
	return true
}

func (m *memory) give(bytes int64) {
	m.used.Add(-bytes)
}

var errBodyTooLarge = errors.New("the body is too large")

// noBody reports whether the request has no body.
func noBody(r *http.Request) bool {
	return r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0
}

// readWhole reads a body of at most limit bytes.
func readWhole(r *http.Request, limit int64) (*body, error) {
	if noBody(r) {
		return &body{buffered: true}, nil
	}
	whole, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, errors.Wrap(err, "read request body")
	}
	if int64(len(whole)) > limit {
		return nil, errBodyTooLarge
	}
	return &body{whole: whole, buffered: true, length: int64(len(whole)), trailer: r.Trailer}, nil
}

// streamed returns the body to be sent on as it comes.
func streamed(r *http.Request, limit int64) *body {
	if noBody(r) {
		return &body{buffered: true}
	}
	var stream io.Reader = &boundedReader{from: r.Body, left: limit}
	if r.ContentLength > 0 {
		stream = &knownLength{from: stream, left: r.ContentLength}
	}
	return &body{
		stream:  stream,
		length:  r.ContentLength,
		trailer: r.Trailer,
	}
}

// outgoing returns a reader for one send. It is never nil.
func (b *body) outgoing() io.ReadCloser {
	if b.buffered {
		return io.NopCloser(bytes.NewReader(b.whole))
	}
	return io.NopCloser(readerFunc(func(p []byte) (int, error) {
		b.begun.Store(true)
		return b.stream.Read(p)
	}))
}

// repeatable reports whether the body can be sent again.
func (b *body) repeatable() bool {
	return b.buffered || !b.begun.Load()
}

type readerFunc func(p []byte) (int, error)

// Read implements io.Reader.
func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// boundedReader fails with errBodyTooLarge past a number of bytes.
type boundedReader struct {
	from io.Reader
	left int64
}

// Read implements io.Reader.
func (b *boundedReader) Read(p []byte) (int, error) {
	if int64(len(p)) > b.left+1 {
		p = p[:b.left+1]
	}
	n, err := b.from.Read(p)
	if b.left -= int64(n); b.left < 0 {
		return 0, errBodyTooLarge
	}
	return n, err
}
