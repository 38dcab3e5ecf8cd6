package instance

import (
	"context"

	"github.com/lentiltide/lentiltide/connection/peer"
	"github.com/lentiltide/lentiltide/connection/peer/peerpb"
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/version/rack"
)

// forwardHandler serves a client's request that another instance forwarded.
type forwardHandler func(ctx context.Context, f *peerpb.Forward) *peerpb.ForwardReply

// SetCallHandler sets the handler of forwarded requests. It must be called once, before Start.
func (in *Instance) SetCallHandler(h func(ctx context.Context, f *peerpb.Forward) *peerpb.ForwardReply) {
	in.forwardHandler = h
}

// HandlePeer handles a message of another instance and returns the reply.
func (in *Instance) HandlePeer(ctx context.Context, req *peerpb.Request) *peerpb.Reply {
	reply := &peerpb.Reply{}
	if err := in.handleRequest(ctx, req, reply); err != nil {
		return &peerpb.Reply{Error: peer.ErrorToProto(err)}
	}
	return reply
}

func (in *Instance) handleRequest(ctx context.Context, req *peerpb.Request, reply *peerpb.Reply) error {
	switch body := req.GetBody().(type) {
	case *peerpb.Request_Forward:
		answer, err := in.handleForward(ctx, body.Forward)
		reply.Body = &peerpb.Reply_Forward{Forward: answer}
		return err
	case *peerpb.Request_Offer:
		return in.handleOffer(body.Offer, reply)
	case *peerpb.Request_Withdraw:
		return in.handleWithdraw(body.Withdraw, reply)
	case *peerpb.Request_Claim:
		return in.handleClaim(body.Claim, reply)
	case *peerpb.Request_Report:
		return in.handleReport(ctx, body.Report, reply)
	case *peerpb.Request_StopTask:
		return in.handleStop(body.StopTask, reply)
	case *peerpb.Request_Propose:
		return in.handlePropose(body.Propose, reply)
	case *peerpb.Request_FenceIntent:
		return in.handleFenceIntent(body.FenceIntent, reply)
	case *peerpb.Request_Hold:
		return in.handleHold(body.Hold, reply)
	case *peerpb.Request_StartHeld:
		return in.handleStartHeld(body.StartHeld, reply)
	case *peerpb.Request_Release:
		return in.handleRelease(body.Release, reply)
	case *peerpb.Request_ExplainTask:
		return in.handleExplainTask(body.ExplainTask, reply)
	case *peerpb.Request_Summaries:
		in.handleSummaries(body.Summaries)
		reply.Body = &peerpb.Reply_Ack{Ack: &peerpb.Ack{}}
		return nil
	case *peerpb.Request_ConfigChanged:
		reply.Body = &peerpb.Reply_Ack{Ack: &peerpb.Ack{}}
		return in.config.ApplyPushed(body.ConfigChanged.GetVersion(), body.ConfigChanged.GetDocument())
	case *peerpb.Request_Usages:
		in.usages.record(body.Usages)
		reply.Body = &peerpb.Reply_Ack{Ack: &peerpb.Ack{}}
		return nil
	default:
		return verdict.New(verdict.NotRun, verdict.CodeInvalid, "unknown message")
	}
}

func (in *Instance) handleOffer(o *peerpb.Offer, reply *peerpb.Reply) error {
	r, err := in.rackRunner(o.GetRack())
	if err != nil {
		return err
	}
	victims := taskIDs(o.GetVictims())
	offers := make([]rack.Offer, 0, len(o.GetTasks()))
	for _, t := range o.GetTasks() {
		offers = append(offers, rack.Offer{Task: peer.TaskFromProto(t), IntentEpoch: o.GetIntentEpoch(), Victims: victims})
	}
	effects, refused := r.core.Offer(in.opts.Clock.Now(), offers)
	r.execute(effects)
	answer := &peerpb.OfferReply{RackEpoch: r.core.Epoch()}
	for _, id := range refused {
		answer.Refused = append(answer.Refused, string(id))
	}
	reply.Body = &peerpb.Reply_Offer{Offer: answer}
	return nil
}

func taskIDs(in []string) []model.TaskID {
	out := make([]model.TaskID, len(in))
	for i, id := range in {
		out[i] = model.TaskID(id)
	}
	return out
}

func (in *Instance) handleWithdraw(w *peerpb.Withdraw, reply *peerpb.Reply) error {
	r, err := in.rackRunner(w.GetRack())
	if err != nil {
		return err
	}
	r.core.Withdraw(taskIDs(w.GetTasks()))
	reply.Body = &peerpb.Reply_Ack{Ack: &peerpb.Ack{}}
	return nil
}

func (in *Instance) handleClaim(c *peerpb.Claim, reply *peerpb.Reply) error {
	r, err := in.loadedIntentRunner(int(c.GetPartition()))
	if err != nil {
		return err
	}
	token, granted := r.core.Claim(r.now(), model.TaskID(c.GetTask()), c.GetRack(), c.GetRackEpoch())
	reply.Body = &peerpb.Reply_Claim{Claim: &peerpb.ClaimReply{Granted: granted, Token: peer.TokenToProto(token)}}
	return nil
}

// handleReport applies the start or the outcome of a task. It replies that an outcome is durable only after the journal has
// written it.
func (in *Instance) handleReport(ctx context.Context, report *peerpb.Report, reply *peerpb.Reply) error {
	r, err := in.loadedIntentRunner(int(report.GetPartition()))
	if err != nil {
		return err
	}
	out := peer.OutcomeFromProto(report.GetOutcome())
	answer := &peerpb.ReportReply{Durable: true}
	reply.Body = &peerpb.Reply_Report{Report: answer}
	if report.GetStarted() {
		r.execute(r.core.Started(r.now(), out.Task, out.Token, out.Worker))
		return nil
	}
	durable, err := r.recordOutcome(peer.TaskFromProto(report.GetTask()), out)
	if err != nil || durable == nil {
		return err
	}
	select {
	case <-durable:
	case <-ctx.Done():
		answer.Durable = false
	case <-r.ctx.Done():
		answer.Durable = false
	}
	return nil
}

func (in *Instance) handleStop(s *peerpb.StopTask, reply *peerpb.Reply) error {
	r, err := in.rackRunner(s.GetRack())
	if err != nil {
		return err
	}
	r.execute(r.core.Stop(model.TaskID(s.GetTask()), peer.TokenFromProto(s.GetToken()), s.GetCheckpoint()))
	reply.Body = &peerpb.Reply_Ack{Ack: &peerpb.Ack{}}
	return nil
}

func (in *Instance) handlePropose(p *peerpb.Propose, reply *peerpb.Reply) error {
	r, err := in.rackRunner(p.GetRack())
	if err != nil {
		return err
	}
	if !r.hasWorkers() {
		return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "the workers of rack %q are not known yet", p.GetRack()).WithRetryAfter(retryDelay)
	}
	proposal := r.core.Propose(in.opts.Clock.Now(), peer.TasksFromProto(p.GetTasks()))
	reply.Body = &peerpb.Reply_Propose{Propose: &peerpb.ProposeReply{
		Placements: peer.PlacementsToProto(proposal.Placements), Displaces: peer.DisplacementsToProto(proposal.Displaces),
		FitsEmpty: proposal.FitsEmpty,
	}}
	return nil
}

func (in *Instance) handleFenceIntent(f *peerpb.FenceIntent, reply *peerpb.Reply) error {
	r, err := in.rackRunner(f.GetRack())
	if err != nil {
		return err
	}
	known, complete, err := r.core.FenceIntent(in.opts.Clock.Now(), int(f.GetPartition()), f.GetEpoch())
	if err != nil {
		return err
	}
	answer := &peerpb.FenceIntentReply{RackEpoch: r.core.Epoch(), Complete: complete}
	for _, k := range known {
		answer.Tasks = append(answer.Tasks, &peerpb.RunningTask{
			Task: peer.TaskToProto(k.Task), Token: peer.TokenToProto(k.Token), Worker: k.Worker,
			Outcome: peer.OutcomeToProto(k.Outcome),
		})
	}
	reply.Body = &peerpb.Reply_FenceIntent{FenceIntent: answer}
	return nil
}
