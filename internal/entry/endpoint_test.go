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

// bodyCounter counts the requests that an endpoint received, by their bodies.
type bodyCounter struct {
	mu   sync.Mutex
	seen map[string]int
}

func newBodyCounter() *bodyCounter {
	return &bodyCounter{seen: make(map[string]int)}
}

func (r *bodyCounter) add(body string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seen[body]++
}

func (r *bodyCounter) count(body string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.seen[body]
}

func (r *bodyCounter) total() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	sum := 0
	for _, n := range r.seen {
		sum += n
	}
	return sum
}

// countBodies returns a handler that counts each request's body before next runs.
func countBodies(r *bodyCounter, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		body, _ := io.ReadAll(request.Body)
		r.add(string(body))
		next(w, request)
	}
}

func respondOK(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "ok")
}

// rawEndpoint is an endpoint that writes its responses directly to the
// connection, so that tests can break the protocol. The script is called for
// each request with its number on the connection, from 1, and returns false to
// close the connection.
type rawEndpoint struct {
	listener net.Listener
	received *bodyCounter
}

func startRawEndpoint(t testing.TB, script func(conn net.Conn, number int, request *http.Request) bool) *rawEndpoint {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	e := &rawEndpoint{listener: listener, received: newBodyCounter()}
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

const completeResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// respondOnceThenClose responds to the first request of each connection and
// closes the connection at the second.
func respondOnceThenClose(conn net.Conn, number int, _ *http.Request) bool {
	if number > 1 {
		return false
	}
	_, err := io.WriteString(conn, completeResponse)
	return err == nil
}

// neverRespond sends no response. It returns when the connection is closed.
func neverRespond(conn net.Conn, _ int, _ *http.Request) bool {
	_ = conn.SetDeadline(time.Now().Add(waitTimeout))
	_, _ = io.Copy(io.Discard, conn)
	return false
}
