package peer

import (
	"encoding/binary"
	"net"
)

const (
	// yamuxHeaderBytes is the size of a yamux frame header: version, type, flags, stream ID and length.
	yamuxHeaderBytes = 12
	// yamuxTypeData is the frame type of yamux data frames, the only frames with a body.
	yamuxTypeData = 0
	// maxJoinedBodyBytes is the size of the largest body that is copied into one buffer with its header.
	maxJoinedBodyBytes = 32 << 10
)

// sessionConn is the connection below a yamux session. It counts the bytes and writes each frame header together with
// the body that follows. yamux itself writes them separately, which costs two system calls and two packets for each
// message. Write is not safe for concurrent use; a session calls it from one goroutine only.
type sessionConn struct {
	net.Conn
	transport *Transport
	// pendingHeader is a header that is held back until its body is written. buf is a buffer reused between writes.
	pendingHeader, buf []byte
}

// wrapConn returns raw as a sessionConn whose bytes are counted by the transport.
func (t *Transport) wrapConn(raw net.Conn) net.Conn { return &sessionConn{Conn: raw, transport: t} }

// Read implements net.Conn.
func (c *sessionConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.transport.received.Add(uint64(n))
	return n, err
}

// Write implements net.Conn. It holds back a header whose body is written next.
func (c *sessionConn) Write(p []byte) (int, error) {
	if len(c.pendingHeader) == 0 && isHeaderWithBody(p) {
		c.pendingHeader = append(c.pendingHeader, p...)
		return len(p), nil
	}
	if len(c.pendingHeader) == 0 {
		return c.write(p)
	}
	header := c.pendingHeader
	c.pendingHeader = c.pendingHeader[:0]
	if len(p) > maxJoinedBodyBytes {
		if _, err := c.write(header); err != nil {
			return 0, err
		}
		return c.write(p)
	}
	c.buf = append(append(c.buf[:0], header...), p...)
	n, err := c.write(c.buf)
	return max(0, n-len(header)), err
}

// write writes to the underlying connection and counts the bytes.
func (c *sessionConn) write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.transport.sent.Add(uint64(n))
	return n, err
}

// isHeaderWithBody reports whether p is a yamux frame header that is followed by a body.
func isHeaderWithBody(p []byte) bool {
	return len(p) == yamuxHeaderBytes && p[1] == yamuxTypeData && binary.BigEndian.Uint32(p[8:]) > 0
}
