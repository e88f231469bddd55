package entry

import "io"

// knownLengthReader reads a body of a stated length. It reports the end by itself:
// once an answer has begun, net/http closes the caller's body, and reading it
// again would fail although all of it was sent.
type knownLengthReader struct {
	source    io.Reader
	remaining int64 // bytes
}

// Read implements io.Reader. A body that ends early gives io.ErrUnexpectedEOF.
func (k *knownLengthReader) Read(p []byte) (int, error) {
	if k.remaining <= 0 {
		return 0, io.EOF
	}
	if int64(len(p)) > k.remaining {
		p = p[:k.remaining]
	}
	n, err := k.source.Read(p)
	k.remaining -= int64(n)
	if err == io.EOF {
		if k.remaining > 0 {
			return n, io.ErrUnexpectedEOF
		}
		return n, io.EOF
	}
	return n, err
}
