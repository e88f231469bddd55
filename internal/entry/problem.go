package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// problem is a response made by the entry itself, as opposed to one of an
// endpoint.
type problem struct {
	status     int
	code       string // one of the codes in codes.go
	message    string
	outcome    apiv1.Outcome
	retryAfter time.Duration // 0: no Retry-After header
}

// Error implements error.
func (p *problem) Error() string {
	return p.code + ": " + p.message
}

// problemBody is the JSON form of a problem.
type problemBody struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	Outcome string `json:"outcome"`
	Request string `json:"request"`
}

// notRun returns a problem with the outcome "not run".
func notRun(status int, code, format string, args ...any) *problem {
	return &problem{
		status:  status,
		code:    code,
		message: fmt.Sprintf(format, args...),
		outcome: apiv1.Outcome_OUTCOME_NOT_RUN,
	}
}

// unknownOutcome returns a problem with the outcome "unknown".
func unknownOutcome(status int, code, format string, args ...any) *problem {
	return &problem{
		status:  status,
		code:    code,
		message: fmt.Sprintf(format, args...),
		outcome: apiv1.Outcome_OUTCOME_UNKNOWN,
	}
}

// withRetry sets the time after which the caller should try again.
func (p *problem) withRetry(after time.Duration) *problem {
	p.retryAfter = after
	return p
}

// write sends the problem to the caller as the response to the request id.
func (p *problem) write(w http.ResponseWriter, id string) {
	body, err := json.Marshal(problemBody{
		Code:    p.code,
		Message: p.message,
		Outcome: outcomeName(p.outcome),
		Request: id,
	})
	if err != nil {
		body = []byte(`{"code":"internal"}`)
	}
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)+1))
	header.Set(headerOutcome, outcomeName(p.outcome))
	header.Set(headerRequestID, id)
	if p.retryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int((p.retryAfter+time.Second-1)/time.Second)))
	}
	w.WriteHeader(p.status)
	_, _ = w.Write(append(body, '\n'))
}
