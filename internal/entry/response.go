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

const copyBufferBytes = 32 << 10

// errCallerWrite marks errors from writing to the caller, as opposed to errors
// from reading the endpoint's response.
var errCallerWrite = errors.New("the caller does not take the answer")

// deliverResponse sends the endpoint's response to the caller. After an error
// the caller has an incomplete response or none, and its connection must be
// closed.
func (s *Server) deliverResponse(x *exchange) error {
	c := x.call
	header := c.w.Header()
	copyEndToEndHeaders(header, x.response.Header)
	header.Set(headerOutcome, outcomeName(apiv1.Outcome_OUTCOME_DONE))
	header.Set(headerRequestID, c.id)
	declareTrailers(header, x.response)
	s.setContentLength(x)
	controller := http.NewResponseController(c.w)
	s.extendWriteDeadline(controller)
	c.w.WriteHeader(x.response.StatusCode)
	if _, err := c.w.Write(x.bodyPrefix); err != nil && c.r.Method != http.MethodHead {
		return errors.Mark(errors.Wrap(err, "write response"), errCallerWrite)
	}
	if !x.bodyComplete {
		if err := s.copyRemainder(x, controller); err != nil {
			return err
		}
	}
	copyTrailers(header, x.response)
	return nil
}

// setContentLength sets Content-Length if the length is known.
func (s *Server) setContentLength(x *exchange) {
	header := x.call.w.Header()
	switch {
	case x.response.ContentLength >= 0:
		header.Set("Content-Length", strconv.FormatInt(x.response.ContentLength, 10))
	case x.bodyComplete && len(x.response.Trailer) == 0 && x.call.r.Method != http.MethodHead:
		header.Set("Content-Length", strconv.Itoa(len(x.bodyPrefix)))
	}
}

// copyRemainder streams the response body after the prefix, flushing each read.
func (s *Server) copyRemainder(x *exchange, controller *http.ResponseController) error {
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := x.response.Body.Read(buffer)
		if n > 0 {
			s.extendWriteDeadline(controller)
			if writeErr := writeAndFlush(x.call.w, controller, buffer[:n]); writeErr != nil {
				return errors.Mark(errors.Wrap(writeErr, "write response"), errCallerWrite)
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrapf(err, "read response of endpoint %q", x.slot.ID)
		}
	}
}

func writeAndFlush(w http.ResponseWriter, controller *http.ResponseController, p []byte) error {
	if _, err := w.Write(p); err != nil {
		return err
	}
	return controller.Flush()
}

// extendWriteDeadline gives the caller CallerWriteTimeout to accept the next
// bytes.
func (s *Server) extendWriteDeadline(controller *http.ResponseController) {
	_ = controller.SetWriteDeadline(time.Now().Add(s.limits.CallerWriteTimeout))
}

// copyEndToEndHeaders copies a response header without the hop-by-hop headers
// and Content-Length.
func copyEndToEndHeaders(to, from http.Header) {
	from = from.Clone()
	removeHopByHopHeaders(from)
	from.Del("Content-Length")
	for name, values := range from {
		to[name] = values
	}
}

// declareTrailers names the endpoint's declared trailers in the header.
func declareTrailers(header http.Header, response *http.Response) {
	for name := range response.Trailer {
		header.Add("Trailer", name)
	}
}

// copyTrailers sends the endpoint's trailers, including undeclared ones.
func copyTrailers(header http.Header, response *http.Response) {
	announced := header.Values("Trailer")
	for name, values := range response.Trailer {
		if slices.Contains(announced, name) {
			header[name] = values
			continue
		}
		header[http.TrailerPrefix+name] = values
	}
}
