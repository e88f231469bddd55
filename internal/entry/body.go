package entry

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// body is a caller's request body: buffered in memory, or a stream that can be
// read once.
type body struct {
	data       []byte
	buffered   bool
	stream     io.Reader // nil when buffered
	length     int64     // bytes; -1: not known
	trailer    http.Header
	streamRead atomic.Bool // part of the stream may have been read
}

// bodyMemory limits the bytes of all buffered bodies. It is safe for concurrent
// use.
type bodyMemory struct {
	limit int64 // bytes
	used  atomic.Int64
}

// reserve reports whether the bytes fit below the limit, and counts them if so.
func (m *bodyMemory) reserve(bytes int64) bool {
	if m.used.Add(bytes) > m.limit {
		m.used.Add(-bytes)
		return false
	}
	return true
}

// unreserve undoes reserve for so many bytes.
func (m *bodyMemory) unreserve(bytes int64) {
	m.used.Add(-bytes)
}

var errBodyTooLarge = errors.New("the body is too large")

// hasNoBody reports whether the request has no body.
func hasNoBody(r *http.Request) bool {
	return r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0
}

// readBuffered reads a body of at most limit bytes into memory. A longer one
// gives errBodyTooLarge.
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

// newStreamedBody returns a body that is forwarded while the caller sends it.
// Reading more than limit bytes of it gives errBodyTooLarge.
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

// newReader returns a reader of the body for one send. It is never nil.
func (b *body) newReader() io.ReadCloser {
	if b.buffered {
		return io.NopCloser(bytes.NewReader(b.data))
	}
	return io.NopCloser(readerFunc(func(p []byte) (int, error) {
		b.streamRead.Store(true)
		return b.stream.Read(p)
	}))
}

// canResend reports whether the complete body can still be sent: it is
// buffered, or its stream is unread.
func (b *body) canResend() bool {
	return b.buffered || !b.streamRead.Load()
}

type readerFunc func(p []byte) (int, error)

// Read implements io.Reader.
func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// boundedReader fails with errBodyTooLarge once more than remaining bytes were
// read from the source.
type boundedReader struct {
	source    io.Reader
	remaining int64 // bytes
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
