package entry_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// record counts what an endpoint received, by body.
type record struct {
	mu   sync.Mutex
	seen map[string]int
}

func newRecord() *record {
	return &record{seen: make(map[string]int)}
}

func (r *record) add(body string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seen[body]++
}

func (r *record) count(body string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.seen[body]
}

func (r *record) total() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	sum := 0
	for _, n := range r.seen {
		sum += n
	}
	return sum
}

// recording notes each request's body before the handler answers.
func recording(r *record, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		body, _ := io.ReadAll(request.Body)
		r.add(string(body))
		next(w, request)
	}
}

func ok(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "ok")
}

// rawEndpoint is an endpoint that speaks by hand, to misbehave. The script is
// called for each request with its number on the connection, from 1, and
// returns false to close the connection.
type rawEndpoint struct {
	listener net.Listener
	received *record
}

func startRaw(t testing.TB, script func(conn net.Conn, number int, request *http.Request) bool) *rawEndpoint {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	e := &rawEndpoint{listener: listener, received: newRecord()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(conn, script)
		}
	}()
	return e
}

func (e *rawEndpoint) address() string { return e.listener.Addr().String() }

func (e *rawEndpoint) serve(conn net.Conn, script func(conn net.Conn, number int, request *http.Request) bool) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for number := 1; ; number++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		e.received.add(string(body))
		if !script(conn, number, request) {
			return
		}
	}
}

const wholeAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// answerThenBreak answers the first request of each connection and breaks off
// at the second.
func answerThenBreak(conn net.Conn, number int, _ *http.Request) bool {
	if number > 1 {
		return false
	}
	_, err := io.WriteString(conn, wholeAnswer)
	return err == nil
}

// swallow never answers. It returns when the connection is closed.
func swallow(conn net.Conn, _ int, _ *http.Request) bool {
	_ = conn.SetDeadline(time.Now().Add(patience))
	_, _ = io.Copy(io.Discard, conn)
	return false
}
