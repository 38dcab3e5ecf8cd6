package instance

import (
	"context"
	"time"

	"github.com/lentiltide/lentiltide/connection/peer"
	"github.com/lentiltide/lentiltide/connection/peer/peerpb"
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/version/intent"
	"github.com/lentiltide/lentiltide/version/ownership"
)

// execute runs effects. Each effect that sends a message or writes a row runs on a goroutine of its own.
func (r *intentRunner) execute(effects []intent.Effect) {
	for _, e := range effects {
		if r.ctx.Err() != nil {
			return
		}
		switch e := e.(type) {
		case intent.OfferTasks:
			r.in.spawn(func() { r.offer(e) })
		case intent.WithdrawTasks:
			r.in.spawn(func() { r.withdraw(e) })
		case intent.StopTask:
			r.in.spawn(func() { r.stop(e) })
		case intent.TaskEnded:
			if e.Record {
				r.appendOutcomes([]model.Outcome{e.Outcome})
			}
			r.notifyWaiters(e.Outcome)
		case intent.SaveIntent:
			r.in.spawn(func() { r.saveIntent(e.ID) })
		case intent.RecordRun:
			r.in.spawn(func() { r.recordRun(e.ID) })
		case intent.DeleteRows:
			r.in.spawn(func() { r.deleteRows(e) })
		case intent.ReserveGang:
			r.in.spawn(func() { r.reserveForGang(e) })
		case intent.CommitGang:
			r.in.spawn(func() { r.commitGang(e) })
		case intent.StartGang:
			r.in.spawn(func() { r.startReserved(e) })
		case intent.ReleaseGang:
			r.in.spawn(func() { r.releaseReservation(e) })
		}
	}
}

// offer sends an offer to a rack once. Tasks that the rack refused are returned to the core, which offers them again. After
// an error these are all tasks, since they may not have been queued.
func (r *intentRunner) offer(e intent.OfferTasks) {
	reply, err := r.in.callOwner(r.ctx, ownership.Rack(e.Rack), &peerpb.Request{Body: &peerpb.Request_Offer{Offer: &peerpb.Offer{
		Rack: e.Rack, IntentEpoch: r.core.Epoch(), Tasks: peer.TasksToProto(e.Tasks), Victims: taskIDStrings(e.Victims),
	}}})
	refused := taskIDs(reply.GetOffer().GetRefused())
	if err != nil {
		for _, t := range e.Tasks {
			refused = append(refused, t.ID)
		}
	}
	if len(refused) > 0 {
		r.core.OffersRefused(r.now(), e.Rack, refused)
	}
}

func taskIDStrings(ids []model.TaskID) []string {
	names := make([]string, len(ids))
	for i, id := range ids {
		names[i] = string(id)
	}
	return names
}

func (r *intentRunner) withdraw(e intent.WithdrawTasks) {
	_, _ = r.in.callOwner(r.ctx, ownership.Rack(e.Rack), &peerpb.Request{Body: &peerpb.Request_Withdraw{
		Withdraw: &peerpb.Withdraw{Rack: e.Rack, Tasks: taskIDStrings(e.Tasks)},
	}})
}

// stop repeats a stop command until the rack has accepted it.
func (r *intentRunner) stop(e intent.StopTask) {
	for {
		_, err := r.in.callOwner(r.ctx, ownership.Rack(e.Rack), &peerpb.Request{Body: &peerpb.Request_StopTask{
			StopTask: &peerpb.StopTask{Rack: e.Rack, Task: string(e.Task), Token: peer.TokenToProto(e.Token), Checkpoint: e.Checkpoint},
		}})
		if err == nil || !r.in.sleep(r.ctx, retryDelay) {
			return
		}
	}
}

// reserveForGang requests a gang reservation from a rack once. A lost answer counts as no reservation; if the rack made
// one, it expires or is released.
func (r *intentRunner) reserveForGang(e intent.ReserveGang) {
	reply, err := r.in.callOwner(r.ctx, ownership.Rack(e.Rack), &peerpb.Request{Body: &peerpb.Request_Hold{Hold: &peerpb.Hold{
		Rack: e.Rack, IntentEpoch: r.core.Epoch(), Hold: e.ReservationID, Tasks: peer.TasksToProto(e.Tasks),
		TermMs: e.TTL.Milliseconds(), Victims: taskIDStrings(e.Victims),
	}}})
	var placements []model.Placement
	if err == nil {
		placements = peer.PlacementsFromProto(reply.GetHold().GetPlacements())
	}
	r.execute(r.core.ReserveGangResult(r.now(), e.Tasks[0].Intent, e.ReservationID, e.Rack, reply.GetHold().GetRackEpoch(), placements))
}

// commitGang writes the start of a gang to the table.
func (r *intentRunner) commitGang(e intent.CommitGang) {
	r.rowLock.Lock()
	in, ok := r.core.PrepareStart(e.ID, e.ReservationID)
	if ok {
		ok = r.writeIntents(r.ctx, in) == nil
	}
	r.rowLock.Unlock()
	r.execute(r.core.GangCommitted(r.now(), e.ID, e.ReservationID, ok))
}

// startReserved repeats the start of reserved gang members until the rack has answered or has a later epoch. In the latter
// case the rack's answer to FenceIntent lists what runs.
func (r *intentRunner) startReserved(e intent.StartGang) {
	msg := &peerpb.StartHeld{Rack: e.Rack, RackEpoch: e.RackEpoch, Hold: e.ReservationID, Tasks: taskIDStrings(e.Tasks)}
	for _, t := range e.Tokens {
		msg.Tokens = append(msg.Tokens, peer.TokenToProto(t))
	}
	unknown := false
	for {
		if loc, ok := r.in.owners.Locate(ownership.Rack(e.Rack)); ok && loc.Epoch > e.RackEpoch {
			return
		}
		_, err := r.in.callOwner(r.ctx, ownership.Rack(e.Rack), &peerpb.Request{Body: &peerpb.Request_StartHeld{StartHeld: msg}})
		switch {
		case err == nil || verdict.From(err).Code == verdict.CodeFenced:
			return
		case isStartRefusal(err) && !unknown:
			r.execute(r.core.StartRefused(r.now(), e.Rack, e.Tasks, e.Tokens, verdict.From(err).Message))
			return
		case isStartRefusal(err):
			// An earlier message may have started the members, after which the rack may have deleted the reservation.
			if r.refuseUnlisted(e, err) {
				return
			}
		}
		unknown = unknown || verdict.Of(err) != verdict.NotRun
		if !r.in.sleep(r.ctx, retryDelay) {
			return
		}
	}
}

// isStartRefusal reports whether a rack has answered that it has no reservation for the members.
func isStartRefusal(err error) bool {
	e := verdict.From(err)
	return e.Verdict == verdict.NotRun && (e.Code == verdict.CodeExpired || e.Code == verdict.CodeConflict)
}

// refuseUnlisted reports to the core, as refused, the members that the rack does not list. It returns false when the rack
// gave no complete list in the expected epoch.
func (r *intentRunner) refuseUnlisted(e intent.StartGang, cause error) bool {
	listed, epoch, complete := r.fenceAndList(e.Rack)
	if !complete || epoch != e.RackEpoch {
		return false
	}
	var tasks []model.TaskID
	var tokens []model.StartToken
	for i, token := range e.Tokens {
		if !listed[token] {
			tasks, tokens = append(tasks, e.Tasks[i]), append(tokens, token)
		}
	}
	r.execute(r.core.StartRefused(r.now(), e.Rack, tasks, tokens, verdict.From(cause).Message))
	return true
}

// releaseReservation releases a gang reservation. The message is sent once: if it is lost, the reservation expires.
func (r *intentRunner) releaseReservation(e intent.ReleaseGang) {
	_, _ = r.in.callOwner(r.ctx, ownership.Rack(e.Rack), &peerpb.Request{Body: &peerpb.Request_Release{
		Release: &peerpb.Release{Rack: e.Rack, Hold: e.ReservationID},
	}})
}

// recordRun writes the start of a run of a recurring intent and then starts the run.
func (r *intentRunner) recordRun(id string) {
	r.rowLock.Lock()
	in, due := r.core.PrepareRun(r.now(), id)
	if due {
		due = r.writeIntents(r.ctx, in) == nil
	}
	r.rowLock.Unlock()
	if !due && !r.in.sleep(r.ctx, time.Second) {
		return
	}
	in.ID = id
	r.execute(r.core.RunRecorded(r.now(), in, due))
}

// saveIntent writes the row of an intent once its outcomes are durable, and retries while the table is unavailable.
func (r *intentRunner) saveIntent(id string) {
	for {
		err := r.journal.Flush(r.ctx)
		if err == nil {
			err = r.saveIntentOnce(id)
		}
		if err == nil || verdict.From(err).Code == verdict.CodeNotFound {
			return
		}
		if !r.in.sleep(r.ctx, time.Second) {
			return
		}
	}
}

func (r *intentRunner) saveIntentOnce(id string) error {
	r.rowLock.Lock()
	defer r.rowLock.Unlock()
	in, err := r.core.Intent(id)
	if err != nil {
		return err
	}
	return r.writeIntents(r.ctx, in)
}

// Explain returns the state of a task and its reasons, as known to the owner of its intent partition and to the racks.
func (in *Instance) Explain(ctx context.Context, n int, id model.TaskID) (intent.Explanation, error) {
	r, err := in.loadedIntentRunner(n)
	if err != nil {
		return intent.Explanation{}, err
	}
	e, err := r.core.Explain(r.now(), id)
	if err != nil {
		return intent.Explanation{}, err
	}
	for _, name := range e.Racks {
		reply, err := in.callOwner(ctx, ownership.Rack(name), &peerpb.Request{Body: &peerpb.Request_ExplainTask{
			ExplainTask: &peerpb.ExplainTask{Rack: name, Task: string(id)},
		}})
		if err != nil {
			e.Reasons = append(e.Reasons, "rack "+name+" could not be asked: "+verdict.From(err).Message)
			continue
		}
		for _, reason := range reply.GetExplainTask().GetReasons() {
			e.Reasons = append(e.Reasons, "rack "+name+": "+reason)
		}
	}
	return e, nil
}
