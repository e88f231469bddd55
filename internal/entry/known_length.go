package entry

import "io"

// knownLength reads a body of a stated length. It reports the end by itself:
// once an answer has begun, net/http closes the caller's body, and reading it
// again would fail although all of it was sent.
type knownLength struct {
	from io.Reader
	left int64 // bytes
}

// Read implements io.Reader. A body that ends early gives io.ErrUnexpectedEOF.
func (k *knownLength) Read(p []byte) (int, error) {
	if k.left <= 0 {
		return 0, io.EOF
	}
	if int64(len(p)) > k.left {
		p = p[:k.left]
	}
	n, err := k.from.Read(p)
	k.left -= int64(n)
	if err == io.EOF {
		if k.left > 0 {
			return n, io.ErrUnexpectedEOF
		}
		return n, io.EOF
	}
	return n, err
}
