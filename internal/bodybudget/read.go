package bodybudget

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// ReadAll reads the body of a request, of at most limit bytes. A body that is announced with more is not
// read. Afterwards it takes the memory for decoding the body. Errors are
// marked with ErrTooLarge or ErrRefused, or are those of the connection.
func ReadAll(r *http.Request, limit int64) ([]byte, error) {
	b, budgeted := r.Body.(*body)
	if budgeted {
		limit = min(limit, b.limit)
	}
	if r.ContentLength > limit {
		if budgeted {
			return nil, b.fail(ErrTooLarge, reasonTooLarge)
		}
		return nil, ErrTooLarge
	}
	content, err := readUpTo(r.Body, r.ContentLength, limit)
	if errors.Is(err, ErrTooLarge) && budgeted && b.err == nil {
		return nil, b.fail(ErrTooLarge, reasonTooLarge)
	}
	if err != nil || !budgeted {
		return content, err
	}
	if err := b.hold.portion.budget.take(b.hold, int64(len(content))*b.decode); err != nil {
		b.err = err
		return nil, err
	}
	return content, nil
}

// readUpTo reads to the end, or to more than limit bytes. The buffer grows with what arrives.
func readUpTo(from io.Reader, length, limit int64) ([]byte, error) {
	capacity := int64(quantum)
	if length >= 0 {
		capacity = min(length, quantum) + 1 // one byte more, so that the end is seen without growth
	}
	content := make([]byte, 0, capacity)
	for {
		if len(content) == cap(content) {
			content = grow(content, length, limit)
		}
		n, err := from.Read(content[len(content):cap(content)])
		content = content[:len(content)+n]
		switch {
		case int64(len(content)) > limit:
			return nil, ErrTooLarge
		case errors.Is(err, io.EOF):
			return content, nil
		case err != nil:
			return nil, err
		}
	}
}

// grow doubles the buffer, but to no more than the body may need.
func grow(content []byte, length, limit int64) []byte {
	size := min(2*int64(cap(content)), limit+1)
	if length >= 0 {
		size = min(size, length+1)
	}
	larger := make([]byte, len(content), size)
	copy(larger, content)
	return larger
}
