package soak

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// linkFault is what a proxy does to the connections through it.
type linkFault int

const (
	linkHealthy linkFault = iota
	// linkDelayed holds every chunk back for a while.
	linkDelayed
	// linkReset resets open connections and refuses new ones.
	linkReset
	// linkBlackhole swallows what both sides send, without an end.
	linkBlackhole
	// linkDropAnswers swallows the answers only.
	linkDropAnswers
	linkFaultCount
)

// linkDelay is what a delayed link adds to each chunk.
const linkDelay = 120 * time.Millisecond

// proxy forwards loopback connections to a target and can disturb them.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	fault linkFault
	conns map[net.Conn]struct{}
}

func newProxy(t *testing.T, target string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p := &proxy{listener: l, target: target, conns: map[net.Conn]struct{}{}}
	t.Cleanup(func() {
		_ = l.Close()
		p.resetAll()
	})
	go p.acceptLoop()
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) setFault(f linkFault) {
	p.mu.Lock()
	p.fault = f
	p.mu.Unlock()
	if f == linkReset {
		p.resetAll()
	}
}

func (p *proxy) currentFault() linkFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// resetAll ends the open connections with a reset.
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

// forward forwards one direction. Chunks that a silent link takes are lost, so the connection never becomes sound again.
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
