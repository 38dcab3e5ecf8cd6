package peer

import (
	"encoding/binary"
	"net"
)

const (
	// yamuxHeaderBytes is the size of a header of yamux: version, type, flags, stream and length.
	yamuxHeaderBytes = 12
	// yamuxTypeData is the type of frames with a body.
	yamuxTypeData = 0
	// joinBytes is the largest body that is copied behind its header.
	joinBytes = 32 << 10
)

// rawConn counts the bytes of a connection and joins each header of yamux with the body that follows it. yamux writes the
// two apart, which costs two system calls and two packets for each message. Write is called by one goroutine of the
// session only.
type rawConn struct {
	net.Conn
	transport *Transport
	// header is a header that waits for its body; buf is reused.
	header, buf []byte
}

// count returns a connection whose bytes are counted by the transport.
func (t *Transport) count(raw net.Conn) net.Conn { return &rawConn{Conn: raw, transport: t} }

// Read implements net.Conn.
func (c *rawConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.transport.received.Add(uint64(n))
	return n, err
}

// Write implements net.Conn. It holds back a header whose body comes next.
func (c *rawConn) Write(p []byte) (int, error) {
	if len(c.header) == 0 && bodyFollows(p) {
		c.header = append(c.header, p...)
		return len(p), nil
	}
	if len(c.header) == 0 {
		return c.write(p)
	}
	header := c.header
	c.header = c.header[:0]
	if len(p) > joinBytes {
		if _, err := c.write(header); err != nil {
			return 0, err
		}
		return c.write(p)
	}
	c.buf = append(append(c.buf[:0], header...), p...)
	n, err := c.write(c.buf)
	return max(0, n-len(header)), err
}

func (c *rawConn) write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.transport.sent.Add(uint64(n))
	return n, err
}

// bodyFollows reports whether p is a header of yamux with a body.
func bodyFollows(p []byte) bool {
	return len(p) == yamuxHeaderBytes && p[1] == yamuxTypeData && binary.BigEndian.Uint32(p[8:]) > 0
}
