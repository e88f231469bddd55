package bodybudget

import (
	"net/http"
	"time"
)

// answerWriter writes a request's answer. It bounds the time for it, closes the connection if the body was not read
// completely, and replaces the answer if the budget has ended the request.
type answerWriter struct {
	http.ResponseWriter
	body   *body // nil: none
	closes bool  // close the connection
	refuse func(w http.ResponseWriter, reason string)

	begun    bool
	replaced bool
}

// WriteHeader implements http.ResponseWriter.
func (a *answerWriter) WriteHeader(status int) {
	if a.begun {
		return
	}
	a.begun = true
	_ = a.controller().SetWriteDeadline(time.Now().Add(answerTimeout)) // fails only if the connection has ended
	if a.closes || a.body != nil && !a.body.complete {
		// The server would otherwise read the rest of the body.
		a.Header().Set("Connection", "close")
	}
	if a.refuse != nil && a.body != nil && a.body.refused() {
		a.replaced = true
		a.refuse(a.ResponseWriter, a.body.err.Error())
		return
	}
	a.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (a *answerWriter) Write(data []byte) (int, error) {
	a.WriteHeader(http.StatusOK)
	if a.replaced {
		return len(data), nil
	}
	return a.ResponseWriter.Write(data)
}

// Unwrap returns the writer for http.ResponseController.
func (a *answerWriter) Unwrap() http.ResponseWriter { return a.ResponseWriter }

func (a *answerWriter) controller() *http.ResponseController {
	return http.NewResponseController(a.ResponseWriter)
}
