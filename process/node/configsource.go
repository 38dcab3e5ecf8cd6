package node

import (
	"cmp"
	"context"
	"hash/fnv"
	"slices"
	"time"

	"github.com/lentiltide/lentiltide/connection/peer/peerpb"
	"github.com/lentiltide/lentiltide/model/job"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/version/cell"
)

// Where links differ, the instances with the fastest ones read the operator's table, and the others get what has changed from them.
// The replies to joins say what is newest, so that an instance without a change costs no further messages.

const (
	// sourceLinkShare is the share of the fastest link from which an instance reads the operator's table itself.
	sourceLinkShare = 0.5
	// sourcesPerInstance is the number of sources that an instance is told of.
	sourcesPerInstance = 2
	// maxConfigDeltas limits the changes that a source keeps. An instance that is further behind gets the whole configuration.
	maxConfigDeltas = 8
	// configFetchWait is how long a source waits for a change that another instance has announced.
	configFetchWait = 500 * time.Millisecond
	// configFetchTimeout limits a request to a source. Afterwards the table is read directly.
	configFetchTimeout = 1500 * time.Millisecond
	// maxAnnouncementAge is the time since the last join up to which an instance relies on the leader to announce changes, if the
	// leader had a confirmation then that was no older than maxConfirmationShare of the deadline of a change.
	maxAnnouncementAge   = 1200 * time.Millisecond
	maxConfirmationShare = 0.7
)

// configAnnouncement is what the leader has said about the operator's table.
type configAnnouncement struct {
	version     uint64
	waves       int
	confirmedAt cell.Instant
	receivedAt  cell.Instant
	// sources are the addresses of the instances to ask; empty if this instance reads the table itself.
	sources []string
}

// configState returns what this instance has read from the operator's table. Callers hold n.mu.
func (n *Node) configState() *peerpb.ConfigState {
	return &peerpb.ConfigState{
		Version: n.config.Version, MaintenanceRequests: uint32(len(n.waves)), FeedVersion: n.configFeed.version,
		ConfirmedMsAgo: (n.opts.Now() - n.configAge.confirmedAt).Milliseconds(), VerifiedMsAgo: n.configAge.verifiedMSAgo(n.opts.Now()),
	}
}

// recordAnnouncement records what a reply to a join, sent at an instant, says about the operator's table. Callers hold n.mu.
func (n *Node) recordAnnouncement(reply *peerpb.JoinReply, sentAt cell.Instant) {
	state := reply.GetConfig()
	if state.GetVersion() == 0 {
		n.announced = configAnnouncement{}
		return
	}
	n.announced = configAnnouncement{
		version: state.GetVersion(), waves: int(state.GetMaintenanceRequests()), receivedAt: n.opts.Now(), sources: reply.GetConfigSources(),
		confirmedAt: sentAt - time.Duration(state.GetConfirmedMsAgo())*time.Millisecond,
	}
	switch {
	case n.isBehind():
		n.configAge.noticeNewer(n.opts.Now())
		signal(n.configWake)
	case n.config.Version == n.announced.version && len(n.waves) == n.announced.waves:
		n.configAge.confirm(n.announced.confirmedAt)
		n.configAge.verifyThrough(state.GetVerifiedMsAgo(), sentAt)
		n.configFeed.version = max(n.configFeed.version, state.GetFeedVersion())
	}
}

// isBehind reports whether the leader has read more from the operator's table than this instance. Callers hold n.mu.
func (n *Node) isBehind() bool {
	return n.announced.version > n.config.Version || n.announced.waves > len(n.waves)
}

// followsSources reports whether this instance gets changes of the configuration from others.
func (n *Node) followsSources() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	a := n.announced
	now := n.opts.Now()
	return n.leadership == nil && len(a.sources) > 0 && n.configFeed.known &&
		now-a.receivedAt <= maxAnnouncementAge &&
		a.receivedAt-a.confirmedAt <= time.Duration(maxConfirmationShare*float64(n.opts.ConfigDeadline))
}

// readConfigUntilAnnounced reads the operator's table directly. It gives the read up when the leader announces a change that this
// instance can get from others: the transfer of the whole row may take longer.
func (n *Node) readConfigUntilAnnounced(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go n.opts.Panics.Run(placeConfig, func() {
		for ctx.Err() == nil {
			select {
			case <-n.configWake:
				if n.followsSources() {
					cancel()
				}
			case <-ctx.Done():
			}
		}
	})
	n.readConfig(ctx)
}

// awaitAnnouncement waits for a change that the leader announces, for a short time.
func (n *Node) awaitAnnouncement(ctx context.Context) {
	select {
	case <-n.configWake:
	case <-time.After(maxAnnouncementAge / 4):
	case <-ctx.Done():
	}
}

// fetchConfig gets what has changed from the sources. It reports whether this instance is no longer behind.
func (n *Node) fetchConfig(ctx context.Context) bool {
	n.mu.Lock()
	sources, behind := n.announced.sources, n.isBehind()
	fetch := &peerpb.ConfigFetch{Version: n.config.Version, MaintenanceRequests: uint32(len(n.waves))}
	n.mu.Unlock()
	if !behind {
		return true
	}
	for _, source := range sources {
		sentAt := n.opts.Now()
		call, cancel := context.WithTimeout(ctx, configFetchTimeout)
		reply, err := n.opts.Peers.Call(call, source, &peerpb.Request{Body: &peerpb.Request_ConfigFetch{ConfigFetch: fetch}})
		cancel()
		if err == nil {
			n.logConfigFetched(source, reply.GetConfigUpdate(), sentAt)
			err = n.applyConfigUpdate(reply.GetConfigUpdate(), sentAt)
		}
		if err != nil {
			n.opts.Log.WithError(err).WithFields(map[string]any{"event": "config_fetch_failed", "source": source}).Info("cannot get the configuration from another instance")
			continue
		}
		if n.hasCaughtUp() {
			return true
		}
	}
	return false
}

// logConfigFetched logs the answer of a source to a request that was sent at an instant.
func (n *Node) logConfigFetched(source string, update *peerpb.ConfigUpdate, sentAt cell.Instant) {
	queues, whole := 0, false
	for _, d := range update.GetDeltas() {
		queues += len(d.GetChanged()) + len(d.GetRemoved())
		whole = whole || d.GetFrom() == 0
	}
	n.opts.Log.WithFields(map[string]any{
		"event": "config_fetched", "source": source, "config": update.GetState().GetVersion(), "queues": queues, "whole": whole,
		"took_ms": (n.opts.Now() - sentAt).Milliseconds(),
	}).Info("configuration received from another instance")
}

// hasCaughtUp reports whether this instance is no longer behind, and records that.
func (n *Node) hasCaughtUp() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isBehind() {
		return false
	}
	n.configAge.newerSince = 0
	return true
}

// applyConfigUpdate applies the answer of a source to a request that was sent at an instant.
func (n *Node) applyConfigUpdate(update *peerpb.ConfigUpdate, sentAt cell.Instant) error {
	n.mu.Lock()
	cfg := n.config
	n.mu.Unlock()
	for _, delta := range update.GetDeltas() {
		if !delta.GetHasTeams() {
			return verdict.New(verdict.NotRun, verdict.CodeInvalid, "the source runs a program without teams")
		}
		next, err := deltaFromProto(delta).Apply(cfg)
		if err != nil {
			return err
		}
		cfg = next
	}
	if len(update.GetDeltas()) > 0 {
		n.applyConfig(cfg)
	}
	for _, wave := range update.GetMaintenance() {
		n.applyWave(waveFromProto(wave))
	}
	state := update.GetState()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.config.Version == state.GetVersion() && len(n.waves) == int(state.GetMaintenanceRequests()) {
		n.configFeed.version = max(n.configFeed.version, state.GetFeedVersion())
		n.configAge.confirm(sentAt - time.Duration(state.GetConfirmedMsAgo())*time.Millisecond)
		n.configAge.verifyThrough(state.GetVerifiedMsAgo(), sentAt)
	}
	return nil
}

// handleConfigFetch answers an instance that gets changes of the configuration from this one. It waits for a change for a short
// time, since the leader may have read it first.
func (n *Node) handleConfigFetch(ctx context.Context, fetch *peerpb.ConfigFetch) *peerpb.ConfigUpdate {
	timeout := time.After(configFetchWait)
	for {
		n.mu.Lock()
		update, changed := n.configUpdate(fetch), n.configChanged
		n.mu.Unlock()
		if len(update.GetDeltas()) > 0 || len(update.GetMaintenance()) > 0 {
			return update
		}
		select {
		case <-changed:
		case <-timeout:
			return update
		case <-ctx.Done():
			return update
		}
	}
}

// configUpdate returns what the sender of a request lacks. Callers hold n.mu.
func (n *Node) configUpdate(fetch *peerpb.ConfigFetch) *peerpb.ConfigUpdate {
	update := &peerpb.ConfigUpdate{State: n.configState()}
	if n.config.Version > fetch.GetVersion() {
		for _, delta := range n.deltasSince(fetch.GetVersion()) {
			update.Deltas = append(update.Deltas, deltaToProto(delta))
		}
	}
	if len(n.waves) > int(fetch.GetMaintenanceRequests()) {
		update.Maintenance = wavesToProto(n.waves)
	}
	return update
}

// deltasSince returns the changes after a version, or the whole configuration if they are not known. Callers hold n.mu.
func (n *Node) deltasSince(version uint64) []job.ConfigDelta {
	first := slices.IndexFunc(n.configDeltas, func(d job.ConfigDelta) bool { return d.From == version })
	if first < 0 {
		return []job.ConfigDelta{job.WholeConfig(n.config)}
	}
	return n.configDeltas[first:]
}

// keepDelta keeps the change to a version that is about to be in force, for the instances that get it from this one.
func (n *Node) keepDelta(cfg job.Config) {
	n.mu.Lock()
	former, serves := n.config, len(n.announced.sources) == 0
	n.mu.Unlock()
	delta, ok := job.ConfigDelta{}, false
	if serves {
		delta, ok = job.DiffConfig(former, cfg)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if !ok {
		n.configDeltas = nil
		return
	}
	n.configDeltas = append(n.configDeltas, delta)
	n.configDeltas = n.configDeltas[max(0, len(n.configDeltas)-maxConfigDeltas):]
}

// notifyConfigChange wakes the requests of instances that wait for a change. Callers hold n.mu.
func (n *Node) notifyConfigChange() {
	close(n.configChanged)
	n.configChanged = make(chan struct{})
}

// configSources returns the addresses of the instances from which a member gets changes of the configuration: none if its own link
// is one of the fastest. Each member gets its own order, which changes little when instances join or leave.
func (l *leadership) configSources(join *peerpb.Join) []string {
	candidates, fastest := l.linksByAddress()
	if join.GetLinkMbps() <= 0 || join.GetLinkMbps() >= sourceLinkShare*fastest {
		return nil
	}
	var sources []string
	for address, link := range candidates {
		if link >= sourceLinkShare*fastest && address != join.GetAddress() {
			sources = append(sources, address)
		}
	}
	slices.SortFunc(sources, func(a, b string) int {
		return cmp.Or(cmp.Compare(pairHash(a, join.GetAddress()), pairHash(b, join.GetAddress())), cmp.Compare(a, b))
	})
	return sources[:min(len(sources), sourcesPerInstance)]
}

// linksByAddress returns the bandwidths of the links of the members and of this instance, in Mbit/s, and the largest of them.
func (l *leadership) linksByAddress() (links map[string]float64, fastest float64) {
	links = map[string]float64{l.node.opts.PeerAddress: l.node.opts.LinkMbps}
	fastest = l.node.opts.LinkMbps
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.node.opts.Now()
	for _, m := range l.members {
		if now-m.joinedAt <= memberTTL {
			links[m.address] = m.linkMbps
			fastest = max(fastest, m.linkMbps)
		}
	}
	return links, fastest
}

func pairHash(a, b string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(a))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(b))
	return h.Sum64()
}
