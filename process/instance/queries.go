package instance

import (
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/version/intent"
	"github.com/lentiltide/lentiltide/version/ownership"
)

// GetPlan returns a plan that is in the memory of the partition's owner, as plans made in the current epoch are.
func (in *Instance) GetPlan(n int, id string) (model.Plan, error) {
	r, err := in.loadedIntentRunner(n)
	if err != nil {
		return model.Plan{}, err
	}
	return r.core.Plan(id)
}

// Status returns the state of an intent and its tasks.
func (in *Instance) Status(n int, id string) (intent.Status, error) {
	r, err := in.loadedIntentRunner(n)
	if err != nil {
		return intent.Status{}, err
	}
	return r.core.Status(id)
}

// IssueTickets issues count tickets for calls of an intent.
func (in *Instance) IssueTickets(n int, id string, count int) ([]model.StartToken, error) {
	if err := in.checkAdmission(); err != nil {
		return nil, err
	}
	r, err := in.loadedIntentRunner(n)
	if err != nil {
		return nil, err
	}
	if _, err := r.core.Intent(id); err != nil {
		return nil, err
	}
	return r.core.Tickets(count)
}

// OwnerEpoch returns the epoch of an intent partition as last read from the table; 0 if it is unknown.
func (in *Instance) OwnerEpoch(n int) uint64 {
	loc, _ := in.owners.Locate(ownership.Intent(n))
	return loc.Epoch
}

// WorkerCapacities returns the capacities of the workers that the platform lists.
func (in *Instance) WorkerCapacities() []model.Resources {
	var all []model.Resources
	for _, m := range in.members.AllWorkers() {
		all = append(all, m.Capacity)
	}
	return all
}
