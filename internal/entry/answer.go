package entry

import (
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

const copyBuffer = 32 << 10 // bytes

// errCaller marks errors of writing to the caller.
var errCaller = errors.New("the caller does not take the answer")

// deliver sends the exchange's answer to the caller. An error means that the
// caller got an incomplete answer, or none; its connection must be broken.
func (s *Server) deliver(x *exchange) error {
	c := x.call
	header := c.w.Header()
	copyHeader(header, x.response.Header)
	header.Set(headerOutcome, outcomeText(apiv1.Outcome_OUTCOME_DONE))
	header.Set(headerRequest, c.id)
	announceTrailer(header, x.response)
	s.setLength(x)
	controller := http.NewResponseController(c.w)
	s.extendWrite(controller)
	c.w.WriteHeader(x.response.StatusCode)
	if _, err := c.w.Write(x.head); err != nil && c.r.Method != http.MethodHead {
		return errors.Mark(errors.Wrap(err, "write answer"), errCaller)
	}
	if !x.whole {
		if err := s.copyRest(x, controller); err != nil {
			return err
		}
	}
	copyTrailer(header, x.response)
	return nil
}

// setLength states the length where it is known.
func (s *Server) setLength(x *exchange) {
	header := x.call.w.Header()
	switch {
	case x.response.ContentLength >= 0:
		header.Set("Content-Length", strconv.FormatInt(x.response.ContentLength, 10))
	case x.whole && len(x.response.Trailer) == 0 && x.call.r.Method != http.MethodHead:
		header.Set("Content-Length", strconv.Itoa(len(x.head)))
	}
}

// copyRest streams the rest of the answer and flushes each piece.
func (s *Server) copyRest(x *exchange, controller *http.ResponseController) error {
	buffer := make([]byte, copyBuffer)
	for {
		n, err := x.response.Body.Read(buffer)
		if n > 0 {
			s.extendWrite(controller)
			if writeErr := writeFlush(x.call.w, controller, buffer[:n]); writeErr != nil {
				return errors.Mark(errors.Wrap(writeErr, "write answer"), errCaller)
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrapf(err, "read answer of endpoint %q", x.slot.ID)
		}
	}
}

func writeFlush(w http.ResponseWriter, controller *http.ResponseController, p []byte) error {
	if _, err := w.Write(p); err != nil {
		return err
	}
	return controller.Flush()
}

// extendWrite gives the caller time to accept more bytes.
func (s *Server) extendWrite(controller *http.ResponseController) {
	_ = controller.SetWriteDeadline(time.Now().Add(s.limits.CallerWriteTimeout))
}

// copyHeader copies an endpoint's answer header without what concerns its
// connection only.
func copyHeader(to, from http.Header) {
	from = from.Clone()
	removeHopByHop(from)
	from.Del("Content-Length")
	for name, values := range from {
		to[name] = values
	}
}

func announceTrailer(header http.Header, response *http.Response) {
	for name := range response.Trailer {
		header.Add("Trailer", name)
	}
}

// copyTrailer sends the trailers, also those that were not announced.
func copyTrailer(header http.Header, response *http.Response) {
	announced := header.Values("Trailer")
	for name, values := range response.Trailer {
		if slices.Contains(announced, name) {
			header[name] = values
			continue
		}
		header[http.TrailerPrefix+name] = values
	}
}
