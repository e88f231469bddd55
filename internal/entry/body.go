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
	data       []byte
	buffered   bool
	stream     io.Reader // the rest, or all, when not buffered
	length     int64     // -1: not known
	trailer    http.Header
	streamRead atomic.Bool // the stream was read from
}

// bodyMemory is the budget for buffered bodies. It is safe for concurrent use.
type bodyMemory struct {
	limit int64
	used  atomic.Int64
}

func (m *bodyMemory) reserve(bytes int64) bool {
	if m.used.Add(bytes) > m.limit {
		m.used.Add(-bytes)
		return false
	}
	return true
}

func (m *bodyMemory) unreserve(bytes int64) {
	m.used.Add(-bytes)
}

var errBodyTooLarge = errors.New("the body is too large")

// hasNoBody reports whether the request has no body.
func hasNoBody(r *http.Request) bool {
	return r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0
}

// readBuffered reads a body of at most limit bytes.
func readBuffered(r *http.Request, limit int64) (*body, error) {
	if hasNoBody(r) {
		return &body{buffered: true}, nil
	}
	data, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, errors.Wrap(err, "read request body")
	}
	if int64(len(data)) > limit {
		return nil, errBodyTooLarge
	}
	return &body{data: data, buffered: true, length: int64(len(data)), trailer: r.Trailer}, nil
}

// newStreamedBody returns the body to be sent on as it comes.
func newStreamedBody(r *http.Request, limit int64) *body {
	if hasNoBody(r) {
		return &body{buffered: true}
	}
	var stream io.Reader = &boundedReader{source: r.Body, remaining: limit}
	if r.ContentLength > 0 {
		stream = &knownLengthReader{source: stream, remaining: r.ContentLength}
	}
	return &body{
		stream:  stream,
		length:  r.ContentLength,
		trailer: r.Trailer,
	}
}

// newReader returns a reader for one send. It is never nil.
func (b *body) newReader() io.ReadCloser {
	if b.buffered {
		return io.NopCloser(bytes.NewReader(b.data))
	}
	return io.NopCloser(readerFunc(func(p []byte) (int, error) {
		b.streamRead.Store(true)
		return b.stream.Read(p)
	}))
}

// canResend reports whether the body can be sent again.
func (b *body) canResend() bool {
	return b.buffered || !b.streamRead.Load()
}

type readerFunc func(p []byte) (int, error)

// Read implements io.Reader.
func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// boundedReader fails with errBodyTooLarge past a number of bytes.
type boundedReader struct {
	source    io.Reader
	remaining int64
}

// Read implements io.Reader.
func (b *boundedReader) Read(p []byte) (int, error) {
	if int64(len(p)) > b.remaining+1 {
		p = p[:b.remaining+1]
	}
	n, err := b.source.Read(p)
	if b.remaining -= int64(n); b.remaining < 0 {
		return 0, errBodyTooLarge
	}
	return n, err
}
