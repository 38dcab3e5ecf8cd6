package instance

import (
	"context"
	"sync"
	"time"

	"github.com/lentiltide/lentiltide/connection/peer"
	"github.com/lentiltide/lentiltide/connection/peer/peerpb"
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/store"
	"github.com/lentiltide/lentiltide/version/intent"
	"github.com/lentiltide/lentiltide/version/ownership"
)

const (
	// usageCheckInterval is the time between checks for changes that have to be sent to the other instances. A change of a
	// partition's oldest waiting gang, such as its start, is sent at the next check, since younger gangs wait for it.
	usageCheckInterval = 500 * time.Millisecond
	// quotaUsageInterval is the time between messages about quota usage.
	quotaUsageInterval = 2 * time.Second
	// usageTTL is how long the last message about a partition is valid.
	usageTTL = 10 * time.Second
)

// cellView is a possibly outdated view of all racks, shared by the intent partitions of an instance.
type cellView struct {
	createdAt      time.Time
	racks          []intent.RackView
	capacity, free model.Resources
}

// currentCellView returns the view of the racks that have an owner, sorted by name. It is rebuilt once per tick: a view that
// is younger than intentTickInterval/2 is used again.
func (in *Instance) currentCellView() cellView {
	now := in.opts.Clock.Now()
	in.mu.Lock()
	view := in.cachedView
	in.mu.Unlock()
	if now.Sub(view.createdAt) < intentTickInterval/2 && len(view.racks) > 0 {
		return view
	}
	view = cellView{createdAt: now}
	names := in.rackNames()
	zones := map[string]string{}
	for _, m := range in.members.AllWorkers() {
		zones[m.Rack] = m.Zone
		if m.State != store.MemberLeaving {
			view.capacity = view.capacity.Add(m.Capacity)
		}
	}
	for _, name := range names {
		if _, ok := in.owners.Locate(ownership.Rack(name)); !ok {
			continue
		}
		s, age, _ := in.summaries.get(now, name)
		queued := 0
		for _, n := range s.Queued {
			queued += n
		}
		view.free = view.free.Add(s.Free)
		view.racks = append(view.racks, intent.RackView{
			Rack: name, Zone: zones[name], Epoch: s.Epoch, Free: s.Free, LargestFree: s.Largest, QueuedOffers: queued, Age: age,
		})
	}
	in.mu.Lock()
	in.cachedView = view
	in.mu.Unlock()
	return view
}

// usageTable holds the last reports of the intent partitions about quotas and gangs.
type usageTable struct {
	now func() time.Time

	mu          sync.Mutex
	byPartition map[int]partitionUsage
}

// partitionUsage is the last report of one intent partition.
type partitionUsage struct {
	epoch      uint64
	receivedAt time.Time
	usage      intent.Usage
	gang       intent.GangAge
}

func newUsageTable(now func() time.Time) *usageTable {
	return &usageTable{now: now, byPartition: map[int]partitionUsage{}}
}

// record stores the reports in a message of any instance, this one included. Reports of an earlier epoch are ignored.
func (b *usageTable) record(m *peerpb.Usages) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range m.GetItems() {
		n := int(p.GetPartition())
		if n < 0 || n >= model.IntentPartitions || p.GetEpoch() < b.byPartition[n].epoch {
			continue
		}
		b.byPartition[n] = partitionUsage{
			epoch: p.GetEpoch(), receivedAt: b.now(),
			usage: intent.Usage{Borrowed: peer.ResourcesFromProto(p.GetBorrowed()), Shortfall: peer.ResourcesFromProto(p.GetShort())},
			gang: intent.GangAge{
				Intent: p.GetGangIntent(), WaitingSince: time.UnixMilli(p.GetGangSinceUnixMs()), MissingMembers: int(p.GetGangMissing()),
			},
		}
	}
}

// forEachOther calls f for each other partition whose last report is within usageTTL. It holds b.mu.
func (b *usageTable) forEachOther(partition int, f func(partitionUsage)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	for n, item := range b.byPartition {
		if n != partition && now.Sub(item.receivedAt) <= usageTTL {
			f(item)
		}
	}
}

// pool returns the view of the cell that limits how much a partition may borrow.
func (b *usageTable) pool(view cellView, partition int) intent.Pool {
	p := intent.Pool{Capacity: view.capacity, Free: view.free}
	b.forEachOther(partition, func(item partitionUsage) {
		p.Borrowed = p.Borrowed.Add(item.usage.Borrowed)
		p.Shortfall = p.Shortfall.Add(item.usage.Shortfall)
	})
	return p
}

// oldestOtherGang returns the oldest waiting gang of all other partitions.
func (b *usageTable) oldestOtherGang(partition int) intent.GangAge {
	var oldest intent.GangAge
	b.forEachOther(partition, func(item partitionUsage) {
		if item.gang.IsOlderThan(oldest) {
			oldest = item.gang
		}
	})
	return oldest
}

// broadcastUsages reports to all instances what the intent partitions served here borrow, lack and wait for. A partition
// with an empty report is left out after the empty report was sent once.
func (in *Instance) broadcastUsages() {
	lastSent := map[int]*peerpb.PartitionUsage{}
	var quotasSentAt time.Time
	in.runEvery(in.ctx, usageCheckInterval, func() {
		now := in.opts.Clock.Now()
		quotasDue := now.Sub(quotasSentAt) >= quotaUsageInterval
		if quotasDue {
			quotasSentAt = now
		}
		m := &peerpb.Usages{}
		for _, r := range in.loadedIntentRunners() {
			u := r.usage()
			last := lastSent[r.partition()]
			sameGang := last.GetGangIntent() == u.GetGangIntent()
			if sameGang && (!quotasDue || (isEmptyUsage(u) && isEmptyUsage(last))) {
				continue
			}
			lastSent[r.partition()] = u
			m.Items = append(m.Items, u)
		}
		if len(m.Items) > 0 {
			in.sendUsages(m)
		}
	})
}

// usage returns the report of the partition for the other instances.
func (r *intentRunner) usage() *peerpb.PartitionUsage {
	u, g := r.core.Usage(r.now()), r.core.OldestGang()
	p := &peerpb.PartitionUsage{Partition: uint32(r.partition()), Epoch: r.core.Epoch()}
	if !u.Borrowed.IsZero() {
		p.Borrowed = peer.ResourcesToProto(u.Borrowed)
	}
	if !u.Shortfall.IsZero() {
		p.Short = peer.ResourcesToProto(u.Shortfall)
	}
	if !g.IsZero() {
		p.GangIntent, p.GangSinceUnixMs, p.GangMissing = g.Intent, g.WaitingSince.UnixMilli(), uint32(g.MissingMembers)
	}
	return p
}

// isEmptyUsage reports whether a partition borrows nothing, lacks nothing and has no waiting gang.
func isEmptyUsage(u *peerpb.PartitionUsage) bool {
	return u.GetBorrowed() == nil && u.GetShort() == nil && u.GetGangIntent() == ""
}

// sendUsages records a message here and sends it to all other instances.
func (in *Instance) sendUsages(m *peerpb.Usages) {
	in.usages.record(m)
	for _, session := range in.owners.Sessions() {
		if session.Instance == in.opts.Settings.Instance {
			continue
		}
		in.spawn(func() {
			ctx, cancel := context.WithTimeout(in.ctx, peerTimeout)
			defer cancel()
			// A lost message is replaced by the next one; without one the last report expires after usageTTL.
			_ = in.opts.Peers.Send(ctx, session.Address, &peerpb.Request{Body: &peerpb.Request_Usages{Usages: m}})
		})
	}
}

// loadedIntentRunners returns the runners of the intent partitions that are loaded here.
func (in *Instance) loadedIntentRunners() []*intentRunner {
	in.mu.Lock()
	defer in.mu.Unlock()
	runners := make([]*intentRunner, 0, len(in.intents))
	for _, r := range in.intents {
		if r.loaded {
			runners = append(runners, r)
		}
	}
	return runners
}
