package peer

import (
	"bytes"
	"encoding/binary"
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// writes records the calls to Write.
type writes struct {
	net.Conn
	calls [][]byte
}

func (w *writes) Write(p []byte) (int, error) {
	w.calls = append(w.calls, bytes.Clone(p))
	return len(p), nil
}

func yamuxHeader(kind byte, length uint32) []byte {
	h := make([]byte, yamuxHeaderBytes)
	h[1] = kind
	binary.BigEndian.PutUint32(h[8:], length)
	return h
}

// TestHeaderAndBodyAreOneWrite guards against two packets for each message, and against a header without a body, such as
// a ping, that is held back.
func TestHeaderAndBodyAreOneWrite(t *testing.T) {
	out := &writes{}
	transport := NewTransport(Options{})
	defer transport.Close()
	c := transport.count(out)
	small, large := []byte("body of 12 b"), make([]byte, joinBytes+1)
	for _, p := range [][]byte{
		yamuxHeader(yamuxTypeData, 12), small, yamuxHeader(2, 7), yamuxHeader(yamuxTypeData, 0),
		yamuxHeader(yamuxTypeData, uint32(len(large))), large,
	} {
		n, err := c.Write(p)
		assert.NilError(t, err)
		assert.Equal(t, n, len(p))
	}
	assert.DeepEqual(t, out.calls, [][]byte{
		append(yamuxHeader(yamuxTypeData, 12), small...), yamuxHeader(2, 7), yamuxHeader(yamuxTypeData, 0),
		yamuxHeader(yamuxTypeData, uint32(len(large))), large,
	})
	sent, _ := transport.Bytes()
	assert.Equal(t, sent, uint64(4*yamuxHeaderBytes+len(small)+len(large)))
}
