package instance

import (
	"context"
	"time"

	"github.com/lentiltide/lentiltide/connection/peer/peerpb"
	"github.com/lentiltide/lentiltide/store"
	"github.com/lentiltide/lentiltide/version/ownership"
)

const (
	// memberRefreshInterval is the time between reads of the platform's list of members.
	memberRefreshInterval = time.Second
	// memberListTimeout bounds one read of the list. Two reads fit into the 3 s during which a leaving worker may still get
	// new work.
	memberListTimeout = time.Second
)

// partitions returns all partitions of the cell: the intent partitions and the racks of all workers listed so far.
func (in *Instance) partitions() []ownership.Partition {
	var all []ownership.Partition
	for _, n := range in.opts.IntentPartitions {
		all = append(all, ownership.Intent(n))
	}
	for _, name := range in.rackNames() {
		all = append(all, ownership.Rack(name))
	}
	return all
}

func (in *Instance) rackNames() []string { return in.members.Racks() }

func (in *Instance) rackMembers(name string) []store.Member { return in.members.Workers(name) }

// rackRegion returns the region of a rack, or "" if it is unknown.
func (in *Instance) rackRegion(name string) string {
	if members := in.rackMembers(name); len(members) > 0 {
		return members[0].Region
	}
	return ""
}

// isLeaving reports whether the platform lists an entry instance as leaving. Such an instance gets no further partitions.
func (in *Instance) isLeaving(name string) bool { return in.members.IsLeaving(name) }

func (in *Instance) watchMembers() { in.runEvery(in.ctx, memberRefreshInterval, in.refreshMembers) }

// refreshMembers reads the platform's list of members and notifies the owners of racks of workers that have begun to leave.
func (in *Instance) refreshMembers() {
	ctx, cancel := context.WithTimeout(in.ctx, memberListTimeout)
	defer cancel()
	members, err := in.opts.Members.List(ctx)
	if err != nil {
		return
	}
	leaving, changed := in.members.ApplyList(in.opts.Clock.Now(), members)
	if changed {
		in.membersChanged()
	}
	in.reportLeaving(leaving)
}

// membersChanged sets the current members of each rack served here.
func (in *Instance) membersChanged() {
	in.router.notify()
	in.mu.Lock()
	runners := make([]*rackRunner, 0, len(in.racks))
	for _, r := range in.racks {
		runners = append(runners, r)
	}
	in.mu.Unlock()
	for _, r := range runners {
		r.setMembers(in.rackMembers(r.core.ID()))
	}
}

// reportLeaving notifies the owners of other racks of their leaving workers, since the lists of those instances may be
// older. The message is sent once: if it is lost, the owner depends on its own list.
func (in *Instance) reportLeaving(leaving []store.Member) {
	byOwner := map[string][]string{}
	for _, m := range leaving {
		loc, ok := in.owners.Locate(ownership.Rack(m.Rack))
		if ok && !loc.Local {
			byOwner[loc.Address] = append(byOwner[loc.Address], m.ID)
		}
	}
	for address, ids := range byOwner {
		in.spawn(func() {
			ctx, cancel := context.WithTimeout(in.ctx, peerTimeout)
			defer cancel()
			_ = in.opts.Peers.Send(ctx, address, &peerpb.Request{Body: &peerpb.Request_Summaries{
				Summaries: &peerpb.Summaries{Leaving: ids},
			}})
		})
	}
}
