package instance

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/lentiltide/lentiltide/connection/peer/peerpb"
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/store"
	"github.com/lentiltide/lentiltide/version/config"
	"github.com/lentiltide/lentiltide/version/intent"
	"github.com/lentiltide/lentiltide/version/ownership"
	"github.com/lentiltide/lentiltide/version/rack"
)

const (
	// configPlanTTL is how long a configuration plan can be confirmed.
	configPlanTTL = 10 * time.Minute
	// maxConfigPlans bounds the stored configuration plans that were not confirmed.
	maxConfigPlans = 256
	// configRetryDelay is the retry delay sent to clients while the table is unavailable.
	configRetryDelay = time.Second
)

// ConfigPlan is a submitted configuration with its differences from the one in force. It is immutable.
type ConfigPlan struct {
	ID string `json:"id"`
	// Base is the version that the plan replaces; BaseRow is the version of its row.
	Base     uint64          `json:"base"`
	BaseRow  uint64          `json:"base_row"`
	Document json.RawMessage `json:"document"`
	Changes  []config.Change `json:"changes"`

	CreatedAt time.Time `json:"created_at"`
	ExpiresAt time.Time `json:"expires_at"`
}

// ConfigStatus is the configuration in force and how far it has spread to the instances.
type ConfigStatus struct {
	Version  uint64          `json:"version"`
	Document json.RawMessage `json:"document"`
	// InForceEverywhere is set when every session has reported the version or has expired.
	InForceEverywhere bool `json:"in_force_everywhere"`
	// Waiting lists the instances that have not reported the version.
	Waiting []string `json:"waiting"`
}

// Config returns the configuration in force on this instance.
func (in *Instance) Config() config.Applied { return in.config.Current() }

// watchConfig polls the stored configuration.
func (in *Instance) watchConfig() {
	first := true
	poll := func() {
		if in.pollConfig(first) == nil {
			first = false
		}
	}
	poll()
	in.runEvery(in.ctx, config.PollInterval, poll)
}

// pollConfig reads the stored configuration. The versions that other sessions report show whether the read was stale. The
// first poll reads the sessions from the table: after a restart they are the only sign of a stale read.
func (in *Instance) pollConfig(first bool) error {
	ctx, cancel := context.WithTimeout(in.ctx, peerTimeout)
	defer cancel()
	sessions, err := in.owners.Sessions(), error(nil)
	if first {
		sessions, err = in.owners.ReadSessions(ctx)
	}
	for _, s := range sessions {
		in.config.RecordReported(s.ConfigVersion)
	}
	readStart := in.opts.Clock.Now()
	row := config.Row{}
	if err == nil {
		row, _, err = in.readConfig(ctx)
	}
	if err == nil {
		err = in.config.ApplyRead(readStart, row)
	}
	if err != nil && in.ctx.Err() == nil {
		in.opts.Log.WithError(err).Warn("could not poll the stored configuration")
	}
	return err
}

// readConfig returns the stored configuration and the version of its row; both are zero while none is stored.
func (in *Instance) readConfig(ctx context.Context) (config.Row, uint64, error) {
	rows, err := in.opts.Table.Get(ctx, config.CurrentKey)
	if err != nil {
		return config.Row{}, 0, verdict.Wrap(err, verdict.NotRun, verdict.CodeUnavailable, "read the configuration").WithRetryAfter(configRetryDelay)
	}
	if len(rows) == 0 {
		return config.Row{}, 0, nil
	}
	var row config.Row
	if err := json.Unmarshal(rows[0].Value, &row); err != nil {
		return config.Row{}, 0, verdict.Wrap(err, verdict.NotRun, verdict.CodeInternal, "decode the configuration")
	}
	return row, rows[0].Version, nil
}

// PlanConfig checks a document and returns a plan with its differences from the version in force. Nothing changes until
// the plan is confirmed.
func (in *Instance) PlanConfig(ctx context.Context, document []byte) (ConfigPlan, error) {
	to, err := config.Parse(document)
	if err != nil {
		return ConfigPlan{}, err
	}
	current, rowVersion, err := in.readConfig(ctx)
	if err != nil {
		return ConfigPlan{}, err
	}
	from := config.Default()
	if current.Version > 0 {
		if from, err = config.Parse(current.Document); err != nil {
			return ConfigPlan{}, err
		}
	}
	changes, err := config.Diff(from, to)
	if err != nil {
		return ConfigPlan{}, verdict.Wrap(err, verdict.NotRun, verdict.CodeInternal, "compare documents")
	}
	now := in.opts.Clock.Now()
	plan := ConfigPlan{
		ID: in.opts.NewID(), Base: current.Version, BaseRow: rowVersion, Document: document, Changes: changes,
		CreatedAt: now, ExpiresAt: now.Add(configPlanTTL),
	}
	return plan, in.storeConfigPlan(ctx, plan)
}

// storeConfigPlan writes a plan, so that any instance can confirm it, and deletes expired ones.
func (in *Instance) storeConfigPlan(ctx context.Context, plan ConfigPlan) error {
	data, err := json.Marshal(plan)
	if err != nil {
		return verdict.Wrap(err, verdict.NotRun, verdict.CodeInternal, "encode plan")
	}
	rows, err := in.opts.Table.Scan(ctx, config.PlanPrefix)
	if err != nil {
		return verdict.Wrap(err, verdict.NotRun, verdict.CodeUnavailable, "read plans").WithRetryAfter(configRetryDelay)
	}
	key := config.PlanPrefix + plan.ID
	// The row must be absent: a duplicate of this write that arrives late would otherwise change the version of the row, which
	// the confirmation requires to be unchanged.
	txn := store.Txn{
		ID: uuid.NewString(), Conditions: []store.Condition{{Key: key}}, Writes: []store.Write{{Key: key, Value: data}},
	}
	for _, row := range rows {
		var old ConfigPlan
		if json.Unmarshal(row.Value, &old) != nil || plan.CreatedAt.After(old.ExpiresAt) {
			txn.Conditions = append(txn.Conditions, store.Condition{Key: row.Key, Version: row.Version})
			txn.Writes = append(txn.Writes, store.Write{Key: row.Key, Delete: true})
		}
	}
	if len(rows) >= maxConfigPlans && len(txn.Writes) == 1 {
		return verdict.New(verdict.NotRun, verdict.CodeOverloaded, "%d configuration plans wait for confirmation", len(rows)).WithRetryAfter(configPlanTTL)
	}
	if _, err := in.opts.Table.Commit(ctx, txn); err != nil {
		if rows, readErr := in.opts.Table.Get(ctx, key); readErr == nil && len(rows) == 1 && rows[0].TxnID == txn.ID {
			return nil
		}
		// If only the answer was lost, the stored plan has an id that no caller knows, and it expires unused.
		return verdict.Wrap(err, verdict.NotRun, verdict.CodeUnavailable, "store the plan").WithRetryAfter(configRetryDelay)
	}
	return nil
}

// ConfirmConfig puts a planned configuration into force by one conditional transaction. It is idempotent: a second
// confirmation of the same plan returns the result of the first. A plan whose base version is no longer in force is refused,
// and the error carries a new plan.
func (in *Instance) ConfirmConfig(ctx context.Context, planID string) (ConfigStatus, error) {
	current, rowVersion, err := in.readConfig(ctx)
	if err != nil {
		return ConfigStatus{}, err
	}
	if _, ok := current.VersionOfPlan(planID); ok {
		return in.ConfigStatus(ctx)
	}
	plan, planRow, err := in.readConfigPlan(ctx, planID)
	if err != nil {
		return in.confirmedConcurrently(ctx, planID, err)
	}
	if plan.BaseRow != rowVersion {
		return ConfigStatus{}, in.staleConfigPlan(ctx, plan)
	}
	next := current.Next(plan.ID, plan.Document)
	applied, err := in.commitConfig(ctx, next, plan, planRow)
	if err != nil {
		return ConfigStatus{}, err
	}
	if !applied {
		// A concurrent confirmation of the same plan may have been committed first.
		current, _, err := in.readConfig(ctx)
		if err != nil {
			return ConfigStatus{}, verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeUnavailable, "read the configuration back").WithRetryAfter(configRetryDelay)
		}
		if _, ok := current.VersionOfPlan(planID); ok {
			return in.ConfigStatus(ctx)
		}
		return ConfigStatus{}, in.staleConfigPlan(ctx, plan)
	}
	if err := in.config.ApplyPushed(next.Version, next.Document); err != nil {
		return ConfigStatus{}, err
	}
	in.pushConfig(next)
	return in.statusAfterConfirm(ctx, next)
}

// confirmedConcurrently returns the current status if a concurrent confirmation of the plan has deleted its row, and cause
// otherwise.
func (in *Instance) confirmedConcurrently(ctx context.Context, planID string, cause error) (ConfigStatus, error) {
	if verdict.From(cause).Code != verdict.CodeNotFound {
		return ConfigStatus{}, cause
	}
	current, _, err := in.readConfig(ctx)
	if err != nil {
		return ConfigStatus{}, err
	}
	if _, ok := current.VersionOfPlan(planID); ok {
		return in.ConfigStatus(ctx)
	}
	return ConfigStatus{}, cause
}

// statusAfterConfirm returns the confirmed version even if the sessions cannot be read.
func (in *Instance) statusAfterConfirm(ctx context.Context, row config.Row) (ConfigStatus, error) {
	if status, err := in.ConfigStatus(ctx); err == nil {
		return status, nil
	}
	return ConfigStatus{Version: row.Version, Document: row.Document, Waiting: []string{}}, nil
}

func (in *Instance) readConfigPlan(ctx context.Context, id string) (ConfigPlan, uint64, error) {
	rows, err := in.opts.Table.Get(ctx, config.PlanPrefix+id)
	if err != nil {
		return ConfigPlan{}, 0, verdict.Wrap(err, verdict.NotRun, verdict.CodeUnavailable, "read the plan").WithRetryAfter(configRetryDelay)
	}
	if len(rows) == 0 {
		return ConfigPlan{}, 0, verdict.New(verdict.NotRun, verdict.CodeNotFound, "configuration plan %q is not known or has expired", id)
	}
	var plan ConfigPlan
	if err := json.Unmarshal(rows[0].Value, &plan); err != nil {
		return ConfigPlan{}, 0, verdict.Wrap(err, verdict.NotRun, verdict.CodeInternal, "decode the plan")
	}
	if in.opts.Clock.Now().After(plan.ExpiresAt) {
		return ConfigPlan{}, 0, verdict.New(verdict.NotRun, verdict.CodeStalePlan, "configuration plan %q has expired", id)
	}
	return plan, rows[0].Version, nil
}

// staleConfigPlan returns the error for a plan whose base version is no longer in force, with a new plan if one can be made.
func (in *Instance) staleConfigPlan(ctx context.Context, plan ConfigPlan) error {
	stale := verdict.New(verdict.NotRun, verdict.CodeStalePlan, "another configuration was confirmed after the plan was made")
	fresh, err := in.PlanConfig(ctx, plan.Document)
	if err != nil {
		return stale
	}
	return stale.WithDetail(fresh)
}

// commitConfig writes the next version. After an unknown result it repeats the same transaction until a read shows
// whether it was applied: at most one of the attempts can apply, and none can once the row has changed. applied is false
// when another confirmation was applied first.
func (in *Instance) commitConfig(ctx context.Context, next config.Row, plan ConfigPlan, planRow uint64) (applied bool, err error) {
	data, err := json.Marshal(next)
	if err != nil {
		return false, verdict.Wrap(err, verdict.NotRun, verdict.CodeInternal, "encode the configuration")
	}
	planKey := config.PlanPrefix + plan.ID
	txn := store.Txn{
		ID: uuid.NewString(),
		Conditions: []store.Condition{
			{Key: config.CurrentKey, Version: plan.BaseRow}, {Key: planKey, Version: planRow},
		},
		Writes: []store.Write{{Key: config.CurrentKey, Value: data}, {Key: planKey, Delete: true}},
	}
	unknown := false
	for {
		_, err := in.opts.Table.Commit(ctx, txn)
		if err == nil {
			return true, nil
		}
		unknown = unknown || verdict.Of(err) == verdict.MayHaveRun
		if !unknown && verdict.From(err).Code != verdict.CodeConflict {
			return false, verdict.Wrap(err, verdict.NotRun, verdict.CodeUnavailable, "confirm the configuration").WithRetryAfter(configRetryDelay)
		}
		if row, version, readErr := in.readConfig(ctx); readErr == nil && version != plan.BaseRow {
			_, applied = row.VersionOfPlan(plan.ID)
			return applied, nil
		} else if readErr == nil && !unknown {
			// The row of the plan was deleted, for example because the plan expired.
			return false, nil
		}
		if !in.sleep(ctx, retryDelay) {
			return false, verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeUnavailable, "confirm the configuration").WithRetryAfter(configRetryDelay)
		}
	}
}

// pushConfig sends a version to all other instances. An instance that misses the push reads the version at its next poll.
func (in *Instance) pushConfig(row config.Row) {
	for _, s := range in.otherSessions() {
		in.spawn(func() {
			ctx, cancel := context.WithTimeout(in.ctx, peerTimeout)
			defer cancel()
			_, _ = in.opts.Peers.Call(ctx, s.Address, &peerpb.Request{Body: &peerpb.Request_ConfigChanged{
				ConfigChanged: &peerpb.ConfigChanged{Version: row.Version, Document: row.Document},
			}})
		})
	}
}

// otherSessions returns the sessions of the other instances.
func (in *Instance) otherSessions() []ownership.Session {
	var others []ownership.Session
	for _, s := range in.owners.Sessions() {
		if s.Instance != in.opts.Settings.Instance {
			others = append(others, s)
		}
	}
	return others
}

// ConfigStatus returns the stored configuration and whether it is in force on all instances. The sessions are read after
// the configuration, so that an instance whose session is not among them has read this version or a later one.
func (in *Instance) ConfigStatus(ctx context.Context) (ConfigStatus, error) {
	row, _, err := in.readConfig(ctx)
	if err != nil {
		return ConfigStatus{}, err
	}
	sessions, err := in.owners.ReadSessions(ctx)
	if err != nil {
		return ConfigStatus{}, verdict.Wrap(err, verdict.NotRun, verdict.CodeUnavailable, "read the sessions").WithRetryAfter(configRetryDelay)
	}
	status := ConfigStatus{Version: row.Version, Document: row.Document, Waiting: []string{}}
	if row.Version == 0 {
		status.Document, _ = json.Marshal(config.Default())
	}
	for _, s := range sessions {
		if s.ConfigVersion < row.Version && !in.owners.SessionExpired(s.ID) {
			status.Waiting = append(status.Waiting, s.Instance)
		}
	}
	status.InForceEverywhere = len(status.Waiting) == 0
	return status, nil
}

// configQuotas provides the intent cores with the quotas of the configuration in force.
type configQuotas struct{ view *config.View }

// Quota implements intent.Quotas.
func (q configQuotas) Quota(account, team string) intent.Quota {
	t := q.view.Current().Team(account, team)
	return intent.Quota{Weight: float64(t.Weight), Share: t.Share, Limit: t.Limit}
}

// intentPolicy returns the policy of intent cores under a document.
func intentPolicy(d config.Document) intent.Policy {
	p := intent.DefaultPolicy()
	p.PlanTTL = time.Duration(d.Policy.PlanTermMS) * time.Millisecond
	p.OfferTTL = time.Duration(d.Policy.OfferTermMS) * time.Millisecond
	p.MaxAttempts = d.Policy.MaxAttempts
	return p
}

// rackPolicy returns the policy of rack cores under a document.
func (in *Instance) rackPolicy(d config.Document) rack.Policy {
	p := rack.DefaultPolicy()
	p.LeaseDuration = in.opts.Settings.LeaseDuration()
	for c := range p.Classes {
		class := d.Class(model.Class(c))
		p.Classes[c] = rack.ClassPolicy{
			Weight: float64(class.Weight), MaxShare: float64(class.MaxSharePercent) / 100, QueueLimit: class.QueueLimit,
		}
	}
	// Racks weight teams by name only. If several accounts have a team of the same name, the largest weight applies.
	p.TeamWeights = make(map[string]float64, len(d.Teams))
	for _, t := range d.Teams {
		p.TeamWeights[t.Team] = max(p.TeamWeights[t.Team], float64(t.Weight))
	}
	return p
}

// applyPolicies sets the policies of a configuration on all cores of this instance.
func (in *Instance) applyPolicies(a config.Applied) {
	in.mu.Lock()
	intents, racks := slices.Collect(maps.Values(in.intents)), slices.Collect(maps.Values(in.racks))
	in.mu.Unlock()
	for _, r := range intents {
		r.core.SetPolicy(intentPolicy(a.Document))
	}
	for _, r := range racks {
		r.core.SetPolicy(in.rackPolicy(a.Document))
	}
}

// checkAdmission returns a NotRun error while requests that depend on the configuration must not be admitted, because the
// version applied here may be outdated.
func (in *Instance) checkAdmission() error { return in.config.Admit(in.opts.Clock.Now()) }

// configHooks holds the functions that are called with each applied version, in the order of versions.
type configHooks struct {
	mu    sync.Mutex
	hooks []func(config.Applied)
	last  *config.Applied
}

// OnConfig registers a function that is called at once with the version in force, if one was applied, and with each later
// version. The function must not block.
func (in *Instance) OnConfig(f func(config.Applied)) {
	h := &in.configHooks
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hooks = append(h.hooks, f)
	if h.last != nil {
		f(*h.last)
	}
}

// onConfigApplied calls the hooks with an applied version; the view calls it in the order of versions.
func (in *Instance) onConfigApplied(a config.Applied) {
	h := &in.configHooks
	h.mu.Lock()
	defer h.mu.Unlock()
	h.last = &a
	for _, f := range h.hooks {
		f(a)
	}
	in.opts.Log.WithField("config_version", a.Version).Info("configuration applied")
}
