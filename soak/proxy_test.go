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
	linkSound linkFault = iota
	// linkDelayed holds every chunk back for a while.
	linkDelayed
	// linkReset resets open connections and refuses new ones.
	linkReset
	// linkSilent swallows what both sides send, without an end.
	linkSilent
	// linkOneWay swallows the answers only.
	linkOneWay
	linkFaults
)

// linkDelay is what a delayed link adds to each chunk.
const linkDelay = 120 * time.Millisecond

// proxy forwards loopback connections to a target and can disturb them.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	fault linkFault
	open  map[net.Conn]struct{}
}

func newProxy(t *testing.T, target string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p := &proxy{listener: l, target: target, open: map[net.Conn]struct{}{}}
	t.Cleanup(func() {
		_ = l.Close()
		p.resetAll()
	})
	go p.accept()
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) set(f linkFault) {
	p.mu.Lock()
	p.fault = f
	p.mu.Unlock()
	if f == linkReset {
		p.resetAll()
	}
}

func (p *proxy) now() linkFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// resetAll ends the open connections with a reset.
func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	clear(p.open)
}

func (p *proxy) accept() {
	for {
		from, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.now() == linkReset {
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
		p.open[from], p.open[to] = struct{}{}, struct{}{}
		p.mu.Unlock()
		go p.copy(to, from, false)
		go p.copy(from, to, true)
	}
}

// copy forwards one direction. Chunks that a silent link takes are lost, so the connection never becomes sound again.
func (p *proxy) copy(to, from net.Conn, answer bool) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
		p.mu.Lock()
		delete(p.open, to)
		delete(p.open, from)
		p.mu.Unlock()
	}()
	buffer := make([]byte, 32<<10)
	lost := false
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			switch f := p.now(); {
			case f == linkSilent, f == linkOneWay && answer:
				lost = true
			case f == linkDelayed:
				time.Sleep(linkDelay)
			}
			if !lost {
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
