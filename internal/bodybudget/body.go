package bodybudget

import (
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// quantum is the unit in which the bytes of a body are taken, so that very small chunks don't cost a
	// lock each. A body that is announced with at most this length is taken in one step.
	quantum = 4 << 10
	// maxRead bounds one read, so that a large buffer isn't filled before its bytes are taken.
	maxRead = 32 << 10
	// rateGrace is the time after which minBytesPerSecond applies to a body, and maxBodyTime the longest
	// time that a body may take. The grace is above the default deadline of a caller, 3 s.
	rateGrace         = 10 * time.Second
	minBytesPerSecond = 1 << 10
	maxBodyTime       = 30 * time.Second
)

// body is a request's body whose bytes are taken from a portion as they arrive.
type body struct {
	inner    io.ReadCloser
	hold     *hold
	deadline func(time.Time) error // sets the read deadline of the connection
	length   int64                 // announced; -1: not
	limit    int64
	factor   int64 // bytes of memory for each byte of the body while it is read
	decode   int64 // the same for decoding it
	start    time.Time
	read     int64
	paid     int64 // bytes of the body that are taken from the portion
	complete bool
	err      error // of the budget; nil: none
}

// newBody returns the body of a request. It must be released.
func (p *Portion) newBody(w http.ResponseWriter, r *http.Request, o Options) *body {
	controller := http.NewResponseController(w)
	b := &body{
		inner: r.Body, deadline: controller.SetReadDeadline, length: r.ContentLength, factor: o.Factor, decode: o.DecodeFactor, limit: p.bodyLimit(o),
		start: time.Now(),
	}
	b.hold = p.newHold(hostOf(r.RemoteAddr), func() { _ = controller.SetReadDeadline(time.Unix(1, 0)) })
	return b
}

// Read implements io.Reader. Its error is marked with ErrRefused or ErrTooLarge if the body is ended.
func (b *body) Read(buffer []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	if b.length > b.limit {
		return 0, b.fail(ErrTooLarge, reasonTooLarge)
	}
	if b.read == 0 && b.length > 0 && b.length <= quantum {
		if err := b.pay(b.length); err != nil {
			return 0, err
		}
	}
	if b.length < 0 || b.length > quantum || b.read > 0 {
		b.setDeadline()
	}
	n, err := b.inner.Read(buffer[:min(len(buffer), maxRead)])
	b.read += int64(n)
	if b.read > b.limit {
		return 0, b.fail(ErrTooLarge, reasonTooLarge)
	}
	if payErr := b.pay(b.read); payErr != nil {
		return 0, payErr
	}
	switch {
	case errors.Is(err, io.EOF):
		return n, b.finish()
	case errors.Is(err, os.ErrDeadlineExceeded) && b.hold.wasEnded():
		b.err = errEnded
		return 0, b.err
	case errors.Is(err, os.ErrDeadlineExceeded):
		return 0, b.fail(errSlow, reasonSlow)
	}
	return n, err
}

// finish ends the arrival of the body and returns io.EOF.
func (b *body) finish() error {
	if b.complete {
		return io.EOF
	}
	if !b.hold.arrived() {
		b.err = errEnded
		return b.err
	}
	b.complete = true
	_ = b.deadline(time.Time{}) // the server sets a new one for the next request
	return io.EOF
}

// pay takes the memory of the first n bytes, in units of quantum.
func (b *body) pay(n int64) error {
	if n <= b.paid {
		return nil
	}
	step := max(n-b.paid, quantum)
	if err := b.hold.portion.budget.take(b.hold, step*b.factor); err != nil {
		b.err = err
		return err
	}
	b.paid += step
	return nil
}

// setDeadline sets the time by which the next bytes must have arrived.
func (b *body) setDeadline() {
	_ = b.deadline(b.start.Add(arrivalTime(b.read))) // fails only if the connection has ended
	if b.hold.wasEnded() {
		b.hold.interrupt() // which the new deadline has undone
	}
}

// arrivalTime returns how long after the begin of a body the next bytes may arrive, once read bytes have.
func arrivalTime(read int64) time.Duration {
	return min(rateGrace+time.Duration(read)*time.Second/minBytesPerSecond, maxBodyTime)
}

// fail counts the reason, ends the body with the error and gives back its memory: what has arrived is not used.
func (b *body) fail(err error, reason string) error {
	b.hold.portion.count(reason)
	b.hold.release()
	b.err = err
	return err
}

// refused reports whether the request was ended and had no effect.
func (b *body) refused() bool { return errors.Is(b.err, ErrRefused) }

// Close implements io.Closer.
func (b *body) Close() error { return b.inner.Close() }

// hostOf returns the host of an address with a port.
func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}
