package site

import (
	"fmt"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/cockroachdb/errors"
)

// stallAt is when the leader stands still in a run with a stall.
const stallAt = 15 * time.Second

// Floor is the share of the jobs of a kind that must be in time under a condition.
type Floor struct {
	Kind string `toml:"kind"`
	// Scale is a multiple of the site's instances, workers and arrivals; Processor is by how much slower the leader's processor is.
	Scale     float64 `toml:"scale"`
	Processor float64 `toml:"processor"`
	// StallMS is how long the leader stands still, in milliseconds.
	StallMS int64   `toml:"stall_ms"`
	Share   float64 `toml:"share"`
}

// String returns a name for the condition of the floor.
func (f Floor) String() string {
	return fmt.Sprintf("%s/scale=%g/processor=%g/stall=%dms", f.Kind, f.Scale, f.Processor, f.StallMS)
}

// LoadFloors reads the floors in a TOML file. The error names the floor at fault.
func LoadFloors(path string) ([]Floor, error) {
	var file struct {
		Floor []Floor `toml:"floor"`
	}
	meta, err := toml.DecodeFile(path, &file)
	if err != nil {
		return nil, errors.Wrap(err, "read the floors")
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, errors.Newf("unknown field %s in %s", unknown[0], path)
	}
	for i, f := range file.Floor {
		if f.Kind == "" || f.Scale <= 0 || f.Processor <= 0 || f.StallMS < 0 || f.Share <= 0 || f.Share > 1 {
			return nil, errors.Newf("floor %d in %s: %s, share %g: want a kind, positive factors and a share up to 1", i+1, path, f, f.Share)
		}
	}
	return file.Floor, nil
}

// Under returns a site under the condition of a floor.
func (s Site) Under(f Floor) Site {
	out := s.Scaled(f.Scale)
	out.CPUShare /= f.Processor
	out.StallAt, out.StallFor = stallAt, time.Duration(f.StallMS)*time.Millisecond
	return out
}
