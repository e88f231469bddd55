package main

import (
	"net"
	"sync"
	"time"
)

// proxy forwards connections to an address. While it is cut, bytes are held up in both directions, also those of
// a client that has closed its end meanwhile, and delivered once the cut has healed. A connection that is opened
// during the cut is closed when that has healed: its first packet was lost.
type proxy struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	healed chan struct{} // open while it is cut; nil: it is not
}

func newProxy(address, target string) (*proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target}
	go p.accept()
	return p, nil
}

func (p *proxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.healed = make(chan struct{})
}

func (p *proxy) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.healed)
	p.healed = nil
}

// await waits until the proxy is not cut. It reports whether it was.
func (p *proxy) await() (cut bool) {
	p.mu.Lock()
	healed := p.healed
	p.mu.Unlock()
	if healed != nil {
		<-healed
	}
	return healed != nil
}

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go func() {
			if p.await() {
				_ = conn.Close()
				return
			}
			server, err := net.DialTimeout("tcp", p.target, time.Second)
			if err != nil {
				_ = conn.Close()
				return
			}
			go p.forward(conn, server)
			p.forward(server, conn)
		}()
	}
}

// forward copies bytes from one end to the other, and then the end of the stream.
func (p *proxy) forward(from, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		p.await()
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	if half, ok := to.(*net.TCPConn); ok {
		_ = half.CloseWrite()
	}
}
