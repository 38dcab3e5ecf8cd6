package peer

import (
	"errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
)

const (
	// keepAliveInterval is the time between probes of a session. A call that times out and a slow write probe the session at
	// once, so the interval only bounds how long an idle half-open connection stays open.
	keepAliveInterval = 15 * time.Second
	// probeTimeout is how long a peer may take to answer a ping, as far as this process could run.
	probeTimeout = 2 * time.Second
	// yamuxTimeout is the limit of yamux on pings and on bytes that the connection does not accept. It counts the time in which
	// this process could not run, so it is far above the limits of this package, which act before it.
	yamuxTimeout = 5 * time.Minute
)

// yamuxConfig returns the configuration of both ends of a session. yamux does not log: failures are returned by calls.
func yamuxConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.LogOutput = io.Discard
	cfg.EnableKeepAlive = false
	cfg.ConnectionWriteTimeout = yamuxTimeout
	cfg.StreamOpenTimeout = 0
	return cfg
}

var errSessionClosed = errors.New("session was closed")

// muxSession is a yamux session that is closed when the peer does not answer. Time in which this process could not run, because
// its processor was busy or it was suspended, is no silence of the peer.
type muxSession struct {
	*yamux.Session
	probing atomic.Bool
}

// newMuxSession returns the session and probes it every keepAliveInterval until it is closed.
func newMuxSession(session *yamux.Session) *muxSession {
	s := &muxSession{Session: session}
	go s.keepAlive()
	return s
}

func (s *muxSession) keepAlive() {
	ticker := time.NewTicker(keepAliveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.probe()
		case <-s.CloseChan():
			return
		}
	}
}

// closeError returns the error that is recorded for a lost session.
func (s *muxSession) closeError() error { return errSessionClosed }

// probe pings the peer in the background and closes the session if no answer arrives within probeTimeout. At most one
// probe runs at a time.
func (s *muxSession) probe() {
	if !s.probing.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer s.probing.Store(false)
		settled := make(chan struct{})
		go func() {
			defer close(settled)
			s.ping()
		}()
		if !awaitPeer(settled, probeTimeout) {
			_ = s.Close()
		}
	}()
}

// ping returns when the peer has answered a ping or the session is closed. It repeats a ping that has reached yamuxTimeout.
func (s *muxSession) ping() {
	for !s.IsClosed() {
		if _, err := s.Ping(); err == nil {
			return
		}
	}
}
