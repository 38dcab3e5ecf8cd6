package rack

import (
	"fmt"

	"github.com/lentiltide/lentiltide/model"
)

// ReasonCode is the cause of a decision.
type ReasonCode uint8

// The reasons of decisions.
const (
	// ReasonNone: no decision was made yet.
	ReasonNone ReasonCode = iota
	// ReasonLeastStranded: the task strands the least capacity on this worker.
	ReasonLeastStranded
	// ReasonSpread: the worker runs the fewest tasks of the same service.
	ReasonSpread
	// ReasonReserved: the worker was reserved for the task, with or without a displacement.
	ReasonReserved
	// ReasonBackfill: the worker is reserved for another task, and this one is urgent or should finish in time.
	ReasonBackfill
	// ReasonProbe: the task probes a worker in quarantine.
	ReasonProbe
	// ReasonNoCapacity: no worker has enough free capacity now.
	ReasonNoCapacity
	// ReasonTooLarge: the task would not fit any worker, even an empty one.
	ReasonTooLarge
	// ReasonClassLimit: the class would exceed its largest share.
	ReasonClassLimit
	// ReasonShortReserve: the remaining capacity is reserved for short work.
	ReasonShortReserve
	// ReasonDisplacing: the task waits for the displaced tasks to stop.
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
	// Worker is the id of the worker that the decision concerns, if any.
	Worker string
	// Demand is the demand that the decision was based on.
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

// describe formats an amount of capacity for a reason.
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
