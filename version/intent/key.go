package intent

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/request/verdict"
)

// Key is the stored row of a client's idempotency key. It is written before the call is dispatched and binds the key to
// one ticket, so that repeating a call with the key repeats it with the ticket.
type Key struct {
	Intent  string           `json:"intent"`
	Payload string           `json:"payload_sha256"`
	Ticket  model.StartToken `json:"ticket"`
}

// KeyHash returns the hash under which a key's row is stored. Keys of different intents are independent.
func KeyHash(intentID, key string) string { return digest([]byte(intentID + "\x00" + key)) }

func digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// NewKey returns the row that binds an idempotency key to a ticket and to the payload of its first call.
func NewKey(intentID string, ticket model.StartToken, payload []byte) Key {
	return Key{Intent: intentID, Payload: digest(payload), Ticket: ticket}
}

// CheckPayload returns an error with verdict NotRun if the key was first used with a different payload.
func (k Key) CheckPayload(payload []byte) error {
	if k.Payload != digest(payload) {
		return verdict.New(verdict.NotRun, verdict.CodeConflict, "the Idempotency-Key was used with a different payload; this request did not run")
	}
	return nil
}
