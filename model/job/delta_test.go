package job

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// changeConfig returns the next version of a configuration, after some random changes.
func changeConfig(r *rand.Rand, c Config) Config {
	next := Config{Version: c.Version + 1 + uint64(r.IntN(3)), MaxBodyBytes: int64(r.IntN(3)), Services: map[string]Service{"s": {Name: "s", PoweredOff: r.IntN(2) == 0}}}
	for _, q := range c.Queues {
		switch r.IntN(6) {
		case 0:
			continue
		case 1:
			q.Priority++
		case 2:
			q.Advice = &Advice{DecisionMS: float64(r.IntN(2))}
		}
		next.Queues = append(next.Queues, q)
	}
	for range r.IntN(4) {
		q := Queue{Name: string(rune('a' + r.IntN(26))), Host: "h", Prefix: "/", Priority: r.IntN(3)}
		at := r.IntN(len(next.Queues) + 1)
		if r.IntN(2) == 0 {
			at = len(next.Queues)
		}
		next.Queues = append(next.Queues[:at:at], append([]Queue{q}, next.Queues[at:]...)...)
	}
	return next
}

// Guards against instances that apply a delta and have another configuration than the operator's: a queue more or less, an old one,
// or another order, which decides between equal prefixes.
func TestDeltaGivesTheNewVersion(t *testing.T) {
	expressed := 0
	for seed := range uint64(2000) {
		r := rand.New(rand.NewPCG(seed, 2))
		from := changeConfig(r, Config{Version: 1})
		to := changeConfig(r, from)
		d, ok := DiffConfig(from, to)
		if !ok {
			continue
		}
		expressed++
		got, err := d.Apply(from)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, to)
		if len(from.Queues) > 0 {
			_, err = d.Apply(to)
			assert.ErrorContains(t, err, "does not apply")
		}
	}
	assert.Assert(t, expressed > 1000, "%d of 2000 changes were expressed as deltas", expressed)
}

// Guards against an instance without a configuration, or with one of another version, that takes a part for the whole.
func TestWholeConfigAppliesToAnyVersion(t *testing.T) {
	cfg := changeConfig(rand.New(rand.NewPCG(1, 3)), Config{Version: 1, Queues: []Queue{{Name: "q"}}})
	for _, version := range []uint64{0, 1, 9} {
		got, err := WholeConfig(cfg).Apply(Config{Version: version, Queues: []Queue{{Name: "other"}}})
		assert.NilError(t, err)
		assert.DeepEqual(t, got, cfg)
	}
	_, ok := DiffConfig(Config{}, cfg)
	assert.Assert(t, !ok)
}
