package node

import (
	"time"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/connection/peer/peerpb"
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/model/job"
)

func deltaToProto(d job.ConfigDelta) *peerpb.ConfigDelta {
	out := &peerpb.ConfigDelta{From: d.From, To: d.To, Removed: d.Removed, MaxBodyBytes: d.MaxBodyBytes, HasTeams: true, RemovedTeams: d.RemovedTeams}
	for _, t := range d.ChangedTeams {
		out.ChangedTeams = append(out.ChangedTeams, teamToProto(t))
	}
	for _, q := range d.Changed {
		out.Changed = append(out.Changed, queueToProto(q))
	}
	for _, p := range d.Positions {
		out.Positions = append(out.Positions, int32(p))
	}
	for _, s := range d.Services {
		out.Services = append(out.Services, &peerpb.Service{
			Name: s.Name, RejectsOverload: s.RejectsOverload, PoweredOff: s.PoweredOff, HealthPath: s.HealthPath,
		})
	}
	return out
}

func deltaFromProto(msg *peerpb.ConfigDelta) job.ConfigDelta {
	out := job.ConfigDelta{
		From: msg.GetFrom(), To: msg.GetTo(), Removed: msg.GetRemoved(), MaxBodyBytes: msg.GetMaxBodyBytes(),
		Services: make(map[string]job.Service, len(msg.GetServices())),
	}
	for _, q := range msg.GetChanged() {
		out.Changed = append(out.Changed, queueFromProto(q))
	}
	for _, t := range msg.GetChangedTeams() {
		out.ChangedTeams = append(out.ChangedTeams, teamFromProto(t))
	}
	out.RemovedTeams = msg.GetRemovedTeams()
	for _, p := range msg.GetPositions() {
		out.Positions = append(out.Positions, int(p))
	}
	for _, s := range msg.GetServices() {
		out.Services[s.GetName()] = job.Service{
			Name: s.GetName(), RejectsOverload: s.GetRejectsOverload(), PoweredOff: s.GetPoweredOff(), HealthPath: s.GetHealthPath(),
		}
	}
	return out
}

func queueToProto(q job.Queue) *peerpb.Queue {
	out := &peerpb.Queue{
		Name: q.Name, Host: q.Host, Prefix: q.Prefix, Service: q.Service, Priority: int32(q.Priority),
		MaxAttempts: int32(q.MaxAttempts), Stretch: q.Stretch, ObjectiveMs: q.ObjectiveMS, Public: q.Public,
	}
	if a := q.Advice; a != nil {
		out.Advice = &peerpb.AdviceCost{DecisionMs: a.DecisionMS, PerWorkerMs: a.PerWorkerMS, ValidityMs: a.ValidityMS}
	}
	return out
}

func queueFromProto(msg *peerpb.Queue) job.Queue {
	out := job.Queue{
		Name: msg.GetName(), Host: msg.GetHost(), Prefix: msg.GetPrefix(), Service: msg.GetService(), Priority: int(msg.GetPriority()),
		MaxAttempts: int(msg.GetMaxAttempts()), Stretch: msg.GetStretch(), ObjectiveMS: msg.GetObjectiveMs(), Public: msg.GetPublic(),
	}
	if a := msg.GetAdvice(); a != nil {
		out.Advice = &job.Advice{DecisionMS: a.GetDecisionMs(), PerWorkerMS: a.GetPerWorkerMs(), ValidityMS: a.GetValidityMs()}
	}
	return out
}

func teamToProto(t job.Team) *peerpb.Team {
	return &peerpb.Team{
		Name: t.Name, Keys: t.Keys, Weight: t.Weight, CpuMilli: t.Limit.CPUMilli, MemoryMib: t.Limit.MemoryMiB, Accelerators: t.Limit.Accelerators,
	}
}

func teamFromProto(msg *peerpb.Team) job.Team {
	return job.Team{
		Name: msg.GetName(), Keys: msg.GetKeys(), Weight: msg.GetWeight(),
		Limit: model.Resources{CPUMilli: msg.GetCpuMilli(), MemoryMiB: msg.GetMemoryMib(), Accelerators: msg.GetAccelerators()},
	}
}

func wavesToProto(waves []backend.MaintenanceWave) []*peerpb.MaintenanceRequest {
	out := make([]*peerpb.MaintenanceRequest, 0, len(waves))
	for _, w := range waves {
		out = append(out, &peerpb.MaintenanceRequest{
			Number: int32(w.Number), Machines: w.Machines, DurationMs: w.Duration.Milliseconds(), MaxUnavailable: int32(w.MaxUnavailable),
		})
	}
	return out
}

func waveFromProto(msg *peerpb.MaintenanceRequest) backend.MaintenanceWave {
	return backend.MaintenanceWave{
		Number: int(msg.GetNumber()), Machines: msg.GetMachines(),
		Duration: time.Duration(msg.GetDurationMs()) * time.Millisecond, MaxUnavailable: int(msg.GetMaxUnavailable()),
	}
}
