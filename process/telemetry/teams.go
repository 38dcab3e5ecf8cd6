package telemetry

import (
	"go.opentelemetry.io/otel/metric"

	"github.com/lentiltide/lentiltide/version/cell"
)

// teamGauges show the use of the cell by each team, as the leader knows it.
type teamGauges struct {
	usedCPU, limitCPU, usedMemory, limitMemory metric.Int64ObservableGauge
	waiting, held, overShare                   metric.Int64ObservableGauge
}

func newTeamGauges(b *instrumentBuilder) teamGauges {
	return teamGauges{
		usedCPU:     b.newGauge("lentiltide.team.cpu.used", "Processor demand of the team's runs, in thousandths of a core, by team."),
		limitCPU:    b.newGauge("lentiltide.team.cpu.limit", "Limit of that demand; 0 means none."),
		usedMemory:  b.newGauge("lentiltide.team.memory.used", "Memory demand of the team's runs, in mebibytes, by team."),
		limitMemory: b.newGauge("lentiltide.team.memory.limit", "Limit of that demand; 0 means none."),
		waiting:     b.newGauge("lentiltide.team.tasks.waiting", "Tasks that wait for a placement, by team."),
		held:        b.newGauge("lentiltide.team.steps.held", "Steps that the limit of their team keeps from starting, by team."),
		overShare:   b.newGauge("lentiltide.team.over_share", "1 if other teams come first while capacity is short, otherwise 0; by team."),
	}
}

// instruments returns the gauges for the registration of a callback.
func (g teamGauges) instruments() []metric.Observable {
	return []metric.Observable{g.usedCPU, g.limitCPU, g.usedMemory, g.limitMemory, g.waiting, g.held, g.overShare}
}

func (g teamGauges) observe(o metric.Observer, teams []cell.TeamUse) {
	for _, t := range teams {
		team := withAttributes("team", t.Name)
		o.ObserveInt64(g.usedCPU, t.Used.CPUMilli, team)
		o.ObserveInt64(g.limitCPU, t.Limit.CPUMilli, team)
		o.ObserveInt64(g.usedMemory, t.Used.MemoryMiB, team)
		o.ObserveInt64(g.limitMemory, t.Limit.MemoryMiB, team)
		o.ObserveInt64(g.waiting, int64(t.WaitingTasks), team)
		o.ObserveInt64(g.held, int64(t.HeldSteps), team)
		over := int64(0)
		if t.OverShare {
			over = 1
		}
		o.ObserveInt64(g.overShare, over, team)
	}
}
