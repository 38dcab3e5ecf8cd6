package site

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	loadLength, drainLength = 30 * time.Second, 5 * time.Second
	seed                    = 1
)

// Quick jobs must stay in time beside a burst, also when the leader's processor is slower and when it has stood still for a second:
// decisions that cost more the more steps wait do not catch up again, and a calmer load does not show it.
func TestSharesInTime(t *testing.T) {
	floors, err := LoadFloors("../floors.toml")
	assert.NilError(t, err)
	for _, f := range floors {
		t.Run(f.String(), func(t *testing.T) {
			t.Parallel()
			r := New(Large().Under(f), MeasuredCosts, seed).Run(loadLength, drainLength)
			t.Log(r)
			k, ok := r.Kinds[f.Kind]
			assert.Assert(t, ok, "no kind %q", f.Kind)
			assert.Assert(t, k.Share() >= f.Share, "%.3f in time, floor %.2f; by second %v", k.Share(), f.Share, k.BySecond)
		})
	}
}

// A mistake in the file of floors must not switch a check off.
func TestLoadFloorsRejectsMistakes(t *testing.T) {
	for name, text := range map[string]string{
		"unknown field": "[[floor]]\nkind = \"a\"\nscale = 1.0\nprocessor = 1.0\nshare = 0.5\nshares = 0.5\n",
		"no share":      "[[floor]]\nkind = \"a\"\nscale = 1.0\nprocessor = 1.0\n",
		"share above 1": "[[floor]]\nkind = \"a\"\nscale = 1.0\nprocessor = 1.0\nshare = 85.0\n",
		"no TOML":       "floor",
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "floors.toml")
			assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
			_, err := LoadFloors(path)
			assert.Assert(t, err != nil)
		})
	}
}

// BenchmarkSite prints what became of each kind of request at a tenth, a third, once and three times the site.
func BenchmarkSite(b *testing.B) {
	for _, scale := range []float64{0.1, 0.33, 1, 3} {
		f := Floor{Kind: "booking", Scale: scale, Processor: 1}
		b.Run(f.String(), func(b *testing.B) {
			for range b.N {
				r := New(Large().Under(f), MeasuredCosts, seed).Run(loadLength, drainLength)
				b.Log(r)
				b.ReportMetric(r.Kinds[f.Kind].Share(), "in-time")
				b.ReportMetric(r.ExaminedPerStart(), "examined/start")
				b.ReportMetric(r.Processor, "processor")
			}
		})
	}
}
