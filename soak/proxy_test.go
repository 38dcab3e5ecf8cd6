package soak

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// linkFault is the way in which a proxy disturbs its connections.
type linkFault int

const (
	linkHealthy linkFault = iota
	// linkDelayed delays every chunk by linkDelay.
	linkDelayed
	// linkReset resets open connections and refuses new ones.
	linkReset
	// linkBlackhole drops the data of both directions and keeps the connections open.
	linkBlackhole
	// linkDropAnswers drops only the data from the target to the client.
	linkDropAnswers
	// linkFaultCount is the number of values, linkHealthy included.
	linkFaultCount
)

// linkDelay is the delay that linkDelayed adds to each chunk.
const linkDelay = 120 * time.Millisecond

// proxy forwards TCP connections on the loopback interface to a target and can inject link faults.
type proxy struct {
	listener net.Listener
	target   string
	// record is called before a fault begins and after it has ended.
	record func(linkFault)

	mu    sync.Mutex
	fault linkFault
	conns map[net.Conn]struct{}
}

func newProxy(t *testing.T, target string, record func(linkFault)) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p := &proxy{listener: l, target: target, record: record, conns: map[net.Conn]struct{}{}}
	t.Cleanup(func() {
		_ = l.Close()
		p.resetAll()
	})
	go p.acceptLoop()
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// setFault sets the current fault. linkReset also resets the open connections.
func (p *proxy) setFault(f linkFault) {
	if f != linkHealthy {
		p.record(f)
	}
	p.mu.Lock()
	p.fault = f
	p.mu.Unlock()
	switch f {
	case linkReset:
		p.resetAll()
	case linkHealthy:
		p.record(f)
	}
}

func (p *proxy) currentFault() linkFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// resetAll closes all open connections with a TCP reset.
func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	clear(p.conns)
}

// acceptLoop accepts connections until the listener is closed.
func (p *proxy) acceptLoop() {
	for {
		from, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.currentFault() == linkReset {
			_ = from.(*net.TCPConn).SetLinger(0)
			_ = from.Close()
			continue
		}
		to, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = from.Close()
			continue
		}
		p.mu.Lock()
		p.conns[from], p.conns[to] = struct{}{}, struct{}{}
		p.mu.Unlock()
		go p.forward(to, from, false)
		go p.forward(from, to, true)
	}
}

// forward copies one direction of a connection; answer is set for the direction from the target to the client. Once a chunk
// has been dropped, the stream is incomplete, so all later data is dropped as well, even after the fault has ended.
func (p *proxy) forward(to, from net.Conn, answer bool) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
		p.mu.Lock()
		delete(p.conns, to)
		delete(p.conns, from)
		p.mu.Unlock()
	}()
	buffer := make([]byte, 32<<10)
	dropping := false
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			switch f := p.currentFault(); {
			case f == linkBlackhole, f == linkDropAnswers && answer:
				dropping = true
			case f == linkDelayed:
				time.Sleep(linkDelay)
			}
			if !dropping {
				if _, err := to.Write(buffer[:n]); err != nil {
					return
				}
			}
		}
		if err == io.EOF || err != nil {
			return
		}
	}
}
