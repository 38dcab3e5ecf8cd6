package instance

import (
	"context"
	"sort"

	"github.com/lentiltide/lentiltide/connection/peer/peerpb"
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/version/intent"
	"github.com/lentiltide/lentiltide/version/ownership"
	"github.com/lentiltide/lentiltide/version/rack"
)

// GetPlan returns a plan that was made in this epoch.
func (in *Instance) GetPlan(n int, id string) (model.Plan, error) {
	r, err := in.intentRunner(n)
	if err != nil {
		return model.Plan{}, err
	}
	return r.core.Plan(id)
}

// Status returns the state of an intent and its tasks.
func (in *Instance) Status(n int, id string) (intent.Status, error) {
	r, err := in.intentRunner(n)
	if err != nil {
		return intent.Status{}, err
	}
	return r.core.Status(id)
}

// Tickets issues a block of tickets for calls of an intent.
func (in *Instance) Tickets(n int, id string, count int) ([]model.StartToken, error) {
	if err := in.admitted(); err != nil {
		return nil, err
	}
	r, err := in.intentRunner(n)
	if err != nil {
		return nil, err
	}
	if _, err := r.core.Intent(id); err != nil {
		return nil, err
	}
	return r.core.Tickets(count)
}

// Route returns where an intent partition is served.
func (in *Instance) Route(n int) (address string, local bool, err error) {
	loc, ok := in.owners.Locate(ownership.Intent(n))
	if !ok {
		return "", false, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "intent partition %d has no owner", n).After(retryDelay)
	}
	return loc.Address, loc.Local, nil
}

// Forward sends a caller's request to the instance at an address.
func (in *Instance) Forward(ctx context.Context, address string, f *peerpb.Forward) (*peerpb.ForwardReply, error) {
	reply, err := in.opts.Peers.Call(ctx, address, &peerpb.Request{Body: &peerpb.Request_Forward{Forward: f}})
	if err != nil {
		return nil, err
	}
	return reply.GetForward(), nil
}

// Dump is the state of one process.
type Dump struct {
	Instance string              `json:"instance"`
	Zone     string              `json:"zone"`
	Sessions []ownership.Session `json:"sessions"`
	Racks    []rack.Summary      `json:"racks"`
	Intents  []IntentDump        `json:"intents"`
}

// IntentDump is the state of one intent partition.
type IntentDump struct {
	Partition int    `json:"partition"`
	Epoch     uint64 `json:"epoch"`
	Intents   int    `json:"intents"`
	Loaded    bool   `json:"loaded"`
}

// Dump returns the state of the process.
func (in *Instance) Dump() Dump {
	d := Dump{
		Instance: in.opts.Settings.Instance, Zone: in.opts.Settings.Zone, Sessions: in.owners.Sessions(),
		Racks: []rack.Summary{}, Intents: []IntentDump{},
	}
	in.mu.Lock()
	racks := make([]*rackRunner, 0, len(in.racks))
	for _, r := range in.racks {
		racks = append(racks, r)
	}
	intents := make([]*intentRunner, 0, len(in.intents))
	loaded := map[*intentRunner]bool{}
	for _, r := range in.intents {
		intents = append(intents, r)
		loaded[r] = r.loaded
	}
	in.mu.Unlock()
	for _, r := range racks {
		d.Racks = append(d.Racks, r.core.Summary())
	}
	for _, r := range intents {
		d.Intents = append(d.Intents, IntentDump{
			Partition: r.partition(), Epoch: r.core.Epoch(), Intents: len(r.core.List()), Loaded: loaded[r],
		})
	}
	sort.Slice(d.Racks, func(i, j int) bool { return d.Racks[i].Rack < d.Racks[j].Rack })
	sort.Slice(d.Intents, func(i, j int) bool { return d.Intents[i].Partition < d.Intents[j].Partition })
	return d
}
