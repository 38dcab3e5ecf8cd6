package peer

import (
	"time"

	"github.com/lentiltide/lentiltide/connection/peer/peerpb"
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/request/verdict"
)

// unixMS converts t to milliseconds since the Unix epoch. The zero time becomes 0.
func unixMS(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

// timeFromUnixMS converts milliseconds since the Unix epoch to a time. 0 becomes the zero time.
func timeFromUnixMS(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}

// ResourcesToProto converts resources to their message.
func ResourcesToProto(r model.Resources) *peerpb.Resources {
	return &peerpb.Resources{
		CpuMilli: r.CPUMilli, MemoryMib: r.MemoryMiB, Accelerators: r.Accelerators,
		AcceleratorType: r.AcceleratorType, Slots: r.Slots, Connections: r.Connections,
	}
}

// ResourcesFromProto converts a message to resources. A nil message becomes the zero value.
func ResourcesFromProto(p *peerpb.Resources) model.Resources {
	return model.Resources{
		CPUMilli: p.GetCpuMilli(), MemoryMiB: p.GetMemoryMib(), Accelerators: p.GetAccelerators(),
		AcceleratorType: p.GetAcceleratorType(), Slots: p.GetSlots(), Connections: p.GetConnections(),
	}
}

// TaskToProto converts a task to its message.
func TaskToProto(t model.Task) *peerpb.Task {
	return &peerpb.Task{
		Id: string(t.ID), Intent: t.Intent, Partition: uint32(t.Partition), Account: t.Account, Team: t.Team,
		Kind: string(t.Kind), Class: uint32(t.Class), Each: ResourcesToProto(t.DeclaredDemand), RunTimeMs: t.RunTimeMS,
		LatestStartUnixMs: unixMS(t.LatestStart), SubmittedUnixMs: unixMS(t.SubmittedAt),
		Preemptible: t.Preemptible, Idempotent: t.Idempotent, Payload: t.Payload,
	}
}

// TaskFromProto converts a message to a task.
func TaskFromProto(p *peerpb.Task) model.Task {
	return model.Task{
		ID: model.TaskID(p.GetId()), Intent: p.GetIntent(), Partition: int(p.GetPartition()), Account: p.GetAccount(),
		Team: p.GetTeam(), Kind: model.Kind(p.GetKind()), Class: model.Class(p.GetClass()),
		DeclaredDemand: ResourcesFromProto(p.GetEach()), RunTimeMS: p.GetRunTimeMs(),
		LatestStart: timeFromUnixMS(p.GetLatestStartUnixMs()), SubmittedAt: timeFromUnixMS(p.GetSubmittedUnixMs()),
		Preemptible: p.GetPreemptible(), Idempotent: p.GetIdempotent(), Payload: p.GetPayload(),
	}
}

// TasksToProto converts tasks to messages.
func TasksToProto(tasks []model.Task) []*peerpb.Task {
	out := make([]*peerpb.Task, len(tasks))
	for i, t := range tasks {
		out[i] = TaskToProto(t)
	}
	return out
}

// TasksFromProto converts messages to tasks.
func TasksFromProto(in []*peerpb.Task) []model.Task {
	out := make([]model.Task, len(in))
	for i, p := range in {
		out[i] = TaskFromProto(p)
	}
	return out
}

// TokenToProto converts a start token to its message.
func TokenToProto(t model.StartToken) *peerpb.Token {
	return &peerpb.Token{Partition: uint32(t.Partition), Epoch: t.Epoch, Sequence: t.Sequence}
}

// TokenFromProto converts a message to a start token.
func TokenFromProto(p *peerpb.Token) model.StartToken {
	return model.StartToken{Partition: int(p.GetPartition()), Epoch: p.GetEpoch(), Sequence: p.GetSequence()}
}

// OutcomeToProto converts an outcome to its message. An outcome without a state becomes nil.
func OutcomeToProto(o model.Outcome) *peerpb.Outcome {
	if o.State == "" {
		return nil
	}
	p := &peerpb.Outcome{
		Task: string(o.Task), Token: TokenToProto(o.Token), State: string(o.State), Worker: o.Worker,
		Answer: o.Answer, AnswerDigest: o.AnswerDigest, Error: o.Error, RanMs: o.RanMS,
	}
	if !o.Used.IsZero() {
		p.Used = ResourcesToProto(o.Used)
	}
	return p
}

// OutcomeFromProto converts a message to an outcome. A nil message becomes the zero value.
func OutcomeFromProto(p *peerpb.Outcome) model.Outcome {
	return model.Outcome{
		Task: model.TaskID(p.GetTask()), Token: TokenFromProto(p.GetToken()), State: model.OutcomeState(p.GetState()),
		Worker: p.GetWorker(), Answer: p.GetAnswer(), AnswerDigest: p.GetAnswerDigest(), Error: p.GetError(),
		RanMS: p.GetRanMs(), Used: ResourcesFromProto(p.GetUsed()),
	}
}

// PlacementsToProto converts placements to messages.
func PlacementsToProto(in []model.Placement) []*peerpb.Placement {
	out := make([]*peerpb.Placement, len(in))
	for i, p := range in {
		out[i] = &peerpb.Placement{
			Task: string(p.Task), Rack: p.Rack, Worker: p.Worker, Zone: p.Zone, Waits: p.MustWait, Reason: p.Reason,
		}
	}
	return out
}

// PlacementsFromProto converts messages to placements.
func PlacementsFromProto(in []*peerpb.Placement) []model.Placement {
	out := make([]model.Placement, len(in))
	for i, p := range in {
		out[i] = model.Placement{
			Task: model.TaskID(p.GetTask()), Rack: p.GetRack(), Worker: p.GetWorker(), Zone: p.GetZone(),
			MustWait: p.GetWaits(), Reason: p.GetReason(),
		}
	}
	return out
}

// DisplacementsToProto converts displacements to messages.
func DisplacementsToProto(in []model.Displacement) []*peerpb.Displacement {
	out := make([]*peerpb.Displacement, len(in))
	for i, d := range in {
		out[i] = &peerpb.Displacement{
			Task: string(d.Task), Team: d.Team, Rack: d.Rack, Worker: d.Worker, Reason: d.Reason,
		}
	}
	return out
}

// DisplacementsFromProto converts messages to displacements.
func DisplacementsFromProto(in []*peerpb.Displacement) []model.Displacement {
	out := make([]model.Displacement, len(in))
	for i, d := range in {
		out[i] = model.Displacement{
			Task: model.TaskID(d.GetTask()), Team: d.GetTeam(), Rack: d.GetRack(), Worker: d.GetWorker(), Reason: d.GetReason(),
		}
	}
	return out
}

// ErrorToProto converts an error to its message. A nil error becomes nil. The detail and the cause of the error are not
// sent.
func ErrorToProto(err error) *peerpb.Error {
	if err == nil {
		return nil
	}
	e := verdict.From(err)
	return &peerpb.Error{
		Verdict: uint32(e.Verdict), Code: string(e.Code), Field: e.Field, Message: e.Message,
		RetryAfterMs: e.RetryAfter.Milliseconds(), Owner: e.Owner,
	}
}

// ErrorFromProto converts a message to a *verdict.Error. A nil message becomes a nil error.
func ErrorFromProto(p *peerpb.Error) error {
	if p == nil {
		return nil
	}
	e := verdict.New(verdict.Verdict(p.GetVerdict()), verdict.Code(p.GetCode()), "%s", p.GetMessage())
	e.Field, e.Owner = p.GetField(), p.GetOwner()
	return e.WithRetryAfter(time.Duration(p.GetRetryAfterMs()) * time.Millisecond)
}
