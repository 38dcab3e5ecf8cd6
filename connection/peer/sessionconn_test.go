package peer

import (
	"bytes"
	"encoding/binary"
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// recordingConn records the bytes of each call to Write.
type recordingConn struct {
	net.Conn
	written [][]byte
}

func (w *recordingConn) Write(p []byte) (int, error) {
	w.written = append(w.written, bytes.Clone(p))
	return len(p), nil
}

// yamuxHeader returns a yamux frame header with a type and a length; its other fields are 0.
func yamuxHeader(frameType byte, length uint32) []byte {
	h := make([]byte, yamuxHeaderBytes)
	h[1] = frameType
	binary.BigEndian.PutUint32(h[8:], length)
	return h
}

// TestHeaderAndBodyAreOneWrite guards against sending header and body of a message in two packets, and against holding
// back a header without a body, such as that of a ping.
func TestHeaderAndBodyAreOneWrite(t *testing.T) {
	out := &recordingConn{}
	transport := NewTransport(Options{})
	defer transport.Close()
	c := transport.wrapConn(out)
	small, large := []byte("body of 12 b"), make([]byte, maxJoinedBodyBytes+1)
	for _, p := range [][]byte{
		yamuxHeader(yamuxTypeData, 12), small, yamuxHeader(2, 7), yamuxHeader(yamuxTypeData, 0),
		yamuxHeader(yamuxTypeData, uint32(len(large))), large,
	} {
		n, err := c.Write(p)
		assert.NilError(t, err)
		assert.Equal(t, n, len(p))
	}
	assert.DeepEqual(t, out.written, [][]byte{
		append(yamuxHeader(yamuxTypeData, 12), small...), yamuxHeader(2, 7), yamuxHeader(yamuxTypeData, 0),
		yamuxHeader(yamuxTypeData, uint32(len(large))), large,
	})
	sent, _ := transport.Bytes()
	assert.Equal(t, sent, uint64(4*yamuxHeaderBytes+len(small)+len(large)))
}
