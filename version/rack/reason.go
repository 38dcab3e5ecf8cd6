package rack

import (
	"fmt"

	"github.com/lentiltide/lentiltide/model"
)

// ReasonCode says why a decision was taken.
type ReasonCode uint8

// The reasons of decisions.
const (
	// ReasonNone: no decision was taken yet.
	ReasonNone ReasonCode = iota
	// ReasonLeastStranded: the worker is left with the least unusable capacity.
	ReasonLeastStranded
	// ReasonSpread: the worker runs the fewest tasks of the same service.
	ReasonSpread
	// ReasonReserved: a start reservation or a confirmed displacement has made room.
	ReasonReserved
	// ReasonBackfill: the task ends before the reservation of the worker begins.
	ReasonBackfill
	// ReasonProbe: the task probes a worker in quarantine.
	ReasonProbe
	// ReasonNoCapacity: no worker has enough free capacity now.
	ReasonNoCapacity
	// ReasonTooLarge: no worker could hold the task if it were empty.
	ReasonTooLarge
	// ReasonClassLimit: the class holds its largest share.
	ReasonClassLimit
	// ReasonShortReserve: the rest of the capacity is kept for short work.
	ReasonShortReserve
	// ReasonDisplacing: the displaced tasks have not stopped yet.
	ReasonDisplacing
)

var reasonTexts = [...]string{
	ReasonNone:          "not looked at yet",
	ReasonLeastStranded: "placed on the worker that keeps the most capacity usable for other work",
	ReasonSpread:        "placed on the worker with the fewest tasks of the same service",
	ReasonReserved:      "placed on the worker that was reserved for it",
	ReasonBackfill:      "placed on a reserved worker, since it should end before the reservation begins",
	ReasonProbe:         "placed on a quarantined worker as a probe",
	ReasonNoCapacity:    "waits: no worker has enough free capacity",
	ReasonTooLarge:      "waits: no worker of this rack is large enough, even when empty",
	ReasonClassLimit:    "waits: the class holds its largest share of the rack",
	ReasonShortReserve:  "waits: the remaining capacity is kept for short work",
	ReasonDisplacing:    "waits: the tasks that it displaces have not stopped yet",
}

// Reason explains one decision.
type Reason struct {
	Code ReasonCode
	// Worker is the worker that the decision is about, if any.
	Worker string
	// Demand is the capacity that the decision counted.
	Demand model.Resources
}

// String returns the reason as a sentence.
func (r Reason) String() string {
	text := reasonTexts[r.Code]
	if r.Worker != "" {
		text += " (" + r.Worker + ")"
	}
	if r.Demand != (model.Resources{}) {
		text += fmt.Sprintf("; it counts as %s", describe(r.Demand))
	}
	return text
}

func describe(r model.Resources) string {
	text := fmt.Sprintf("%.3g cores, %d MiB, %d slots", float64(r.CPUMilli)/1000, r.MemoryMiB, r.Slots)
	if r.Accelerators > 0 {
		text += fmt.Sprintf(", %d accelerators of type %s", r.Accelerators, r.AcceleratorType)
	}
	if r.Connections > 0 {
		text += fmt.Sprintf(", %d connections", r.Connections)
	}
	return text
}
