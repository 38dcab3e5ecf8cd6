package instance

import (
	"context"

	"github.com/lentiltide/lentiltide/connection/peer/peerpb"
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/platform"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/version/intent"
	"github.com/lentiltide/lentiltide/version/ownership"
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

// OwnerEpoch returns the epoch of an intent partition as last read from the table; 0 if it is unknown.
func (in *Instance) OwnerEpoch(n int) uint64 {
	loc, _ := in.owners.Locate(ownership.Intent(n))
	return loc.Epoch
}

// WorkerCapacities returns the capacities of the workers that the platform lists.
func (in *Instance) WorkerCapacities() []model.Resources {
	in.mu.Lock()
	defer in.mu.Unlock()
	var all []model.Resources
	for _, m := range in.members {
		if m.Role == platform.RoleWorker {
			all = append(all, m.Capacity)
		}
	}
	return all
}

// Forward sends a caller's request to the instance at an address.
func (in *Instance) Forward(ctx context.Context, address string, f *peerpb.Forward) (*peerpb.ForwardReply, error) {
	reply, err := in.opts.Peers.Call(ctx, address, &peerpb.Request{Body: &peerpb.Request_Forward{Forward: f}})
	if err != nil {
		return nil, err
	}
	return reply.GetForward(), nil
}
