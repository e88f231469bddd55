package entry

import "io"

// knownLengthReader reads a body of known length and reports io.EOF at that
// length without reading the source again: once the response has begun, net/http
// closes the caller's body, and a further read would fail although all of it was
// sent.
type knownLengthReader struct {
	source    io.Reader
	remaining int64 // bytes
}

// Read implements io.Reader. A source that ends early gives io.ErrUnexpectedEOF.
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
