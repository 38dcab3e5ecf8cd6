package instance

import (
	"time"

	"github.com/lentiltide/lentiltide/connection/peer"
	"github.com/lentiltide/lentiltide/connection/peer/peerpb"
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/version/rack"
)

// handleHold makes a gang reservation in a rack. All tasks belong to one intent partition.
func (in *Instance) handleHold(h *peerpb.Hold, reply *peerpb.Reply) error {
	r, err := in.rackRunner(h.GetRack())
	if err != nil {
		return err
	}
	tasks := peer.TasksFromProto(h.GetTasks())
	if len(tasks) == 0 {
		return verdict.Invalid("tasks", "must not be empty")
	}
	placements, effects, err := r.core.ReserveGang(in.opts.Clock.Now(), rack.GangReservationRequest{
		ID: h.GetHold(), Partition: tasks[0].Partition, IntentEpoch: h.GetIntentEpoch(), Tasks: tasks,
		TTL: time.Duration(h.GetTermMs()) * time.Millisecond, Victims: taskIDs(h.GetVictims()),
	})
	if err != nil {
		return err
	}
	r.execute(effects)
	reply.Body = &peerpb.Reply_Hold{Hold: &peerpb.HoldReply{
		RackEpoch: r.core.Epoch(), Placements: peer.PlacementsToProto(placements),
	}}
	return nil
}

// handleStartHeld starts the members of a gang that have a reservation.
func (in *Instance) handleStartHeld(s *peerpb.StartHeld, reply *peerpb.Reply) error {
	r, err := in.rackRunner(s.GetRack())
	if err != nil {
		return err
	}
	if s.GetRackEpoch() != r.core.Epoch() {
		// Reservations are lost with the epoch of a rack, so a refusal in another epoch would not prove that nothing was started.
		return verdict.New(verdict.NotRun, verdict.CodeFenced, "the rack is in epoch %d, the hold of epoch %d", r.core.Epoch(), s.GetRackEpoch())
	}
	tokens := make([]model.StartToken, 0, len(s.GetTokens()))
	for _, t := range s.GetTokens() {
		tokens = append(tokens, peer.TokenFromProto(t))
	}
	effects, err := r.core.StartGang(in.opts.Clock.Now(), s.GetHold(), taskIDs(s.GetTasks()), tokens)
	if err != nil {
		return err
	}
	r.execute(effects)
	reply.Body = &peerpb.Reply_Ack{Ack: &peerpb.Ack{}}
	return nil
}

// handleRelease releases a gang reservation.
func (in *Instance) handleRelease(rel *peerpb.Release, reply *peerpb.Reply) error {
	r, err := in.rackRunner(rel.GetRack())
	if err != nil {
		return err
	}
	r.execute(r.core.ReleaseGang(in.opts.Clock.Now(), rel.GetHold()))
	reply.Body = &peerpb.Reply_Ack{Ack: &peerpb.Ack{}}
	return nil
}

// handleExplainTask returns the rack's reasons for the state of a task.
func (in *Instance) handleExplainTask(e *peerpb.ExplainTask, reply *peerpb.Reply) error {
	r, err := in.rackRunner(e.GetRack())
	if err != nil {
		return err
	}
	reasons := r.core.Explain(in.opts.Clock.Now(), model.TaskID(e.GetTask()))
	reply.Body = &peerpb.Reply_ExplainTask{ExplainTask: &peerpb.ExplainReply{Reasons: reasons}}
	return nil
}
