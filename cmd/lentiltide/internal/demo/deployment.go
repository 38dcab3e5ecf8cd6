package demo

import (
	"encoding/json"
	"io/fs"
	"path"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lentiltide/lentiltide/model"
)

// deployment describes a cell and the work that the demo runs on it. It is decoded from demo.json of an example directory.
type deployment struct {
	Name           string          `json:"name"`
	Region         string          `json:"region"`
	Zones          []string        `json:"zones"`
	Instances      int             `json:"instances"`
	Workers        int             `json:"workers"`
	WorkersPerRack int             `json:"workers_per_rack"`
	Capacity       model.Resources `json:"capacity"`
	// Intents are the names of intent files in the directory of demo.json, confirmed in this order.
	Intents []string `json:"intents"`
	Calls   callLoad `json:"calls"`
	// KillInstanceAfterMS is the time from the start of the calls until an instance is killed.
	KillInstanceAfterMS int64 `json:"kill_instance_after_ms"`

	// specs are the decoded intents by file name.
	specs map[string]model.IntentSpec
}

// callLoad is a sequence of calls to one intent.
type callLoad struct {
	Intent string  `json:"intent"`
	Phases []phase `json:"phases"`
}

// phase is a part of a callLoad with a constant arrival rate.
type phase struct {
	Name       string `json:"name"`
	PerSecond  int    `json:"per_second"`
	DurationMS int64  `json:"for_ms"`
}

func (p phase) duration() time.Duration { return time.Duration(p.DurationMS) * time.Millisecond }

// loadDeployment reads the deployment in dir and its intents.
func loadDeployment(files fs.FS, dir string) (deployment, error) {
	d := deployment{specs: map[string]model.IntentSpec{}}
	if err := readJSON(files, path.Join(dir, "demo.json"), &d); err != nil {
		return d, err
	}
	for _, name := range d.Intents {
		var spec model.IntentSpec
		if err := readJSON(files, path.Join(dir, name), &spec); err != nil {
			return d, err
		}
		d.specs[name] = spec
	}
	if _, ok := d.specs[d.Calls.Intent]; !ok {
		return d, errors.Newf("%s/demo.json: calls.intent: %q is not among the intents", dir, d.Calls.Intent)
	}
	return d, nil
}

func readJSON(files fs.FS, name string, out any) error {
	data, err := fs.ReadFile(files, name)
	if err != nil {
		return errors.Wrap(err, "read example")
	}
	return errors.Wrapf(json.Unmarshal(data, out), "decode %s", name)
}
