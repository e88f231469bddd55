package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	apiv1 "github.com/pistachioport/pistachioport/api/v1"
)

// problem is an answer that the entry itself gives.
type problem struct {
	status     int
	code       string // stable
	message    string
	outcome    apiv1.Outcome
	retryAfter time.Duration // 0: not said
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

func notRun(status int, code, format string, args ...any) *problem {
	return &problem{
		status:  status,
		code:    code,
		message: fmt.Sprintf(format, args...),
		outcome: apiv1.Outcome_OUTCOME_NOT_RUN,
	}
}

func unknownOutcome(status int, code, format string, args ...any) *problem {
	return &problem{
		status:  status,
		code:    code,
		message: fmt.Sprintf(format, args...),
		outcome: apiv1.Outcome_OUTCOME_UNKNOWN,
	}
}

// withRetry says after how long a resend has better prospects.
func (p *problem) withRetry(after time.Duration) *problem {
	p.retryAfter = after
	return p
}

// write answers the caller.
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
