package history

// Result is how a run ended on its worker.
type Result string

// The results of runs. Runs on a worker that crashes or leaves end without one: see ChangeCrash.
const (
	ResultDone    Result = "done"
	ResultFailed  Result = "failed"
	ResultStopped Result = "stopped"
	ResultExpired Result = "expired" // the lease of the worker expired
	ResultBroken  Result = "broken"  // another member of the gang ended
	ResultAlone   Result = "alone"   // the other members of the gang did not start in time
)

// Start is the start of a run on a worker.
type Start struct {
	Task   Task   `json:"task"`
	Run    uint64 `json:"run"`
	Worker string `json:"worker"`
	// Boot identifies the boot of the worker; 0, here and below, is the present one.
	Boot int64 `json:"boot,omitempty"`
	// Instance is the instance that sent the command; empty if unknown.
	Instance string `json:"instance,omitempty"`
	Epoch    uint64 `json:"epoch,omitempty"`
	// Late says that the worker carried out the command later than it arrived.
	Late bool `json:"late,omitempty"`
	// Payload is what the command said to run, or the digest that Job.Payload uses; empty if unknown.
	Payload string `json:"payload,omitempty"`
}

// End is the end of a run on a worker that is up.
type End struct {
	Task   Task   `json:"task"`
	Run    uint64 `json:"run"`
	Worker string `json:"worker"`
	Boot   int64  `json:"boot,omitempty"`
	// Number is the number of the completion; it rises from 1 in each boot.
	Number uint64 `json:"number"`
	Result Result `json:"result"`
}

// Listing is a response of a worker that lists its completions up to UpTo.
type Listing struct {
	Worker   string `json:"worker"`
	Boot     int64  `json:"boot,omitempty"`
	Instance string `json:"instance,omitempty"`
	UpTo     uint64 `json:"up_to"`
}

// Acknowledgement is the arrival of an acknowledgement at a worker.
type Acknowledgement struct {
	Worker   string `json:"worker"`
	Boot     int64  `json:"boot,omitempty"`
	Instance string `json:"instance,omitempty"`
	// UpTo is the number of the last completion that is acknowledged.
	UpTo uint64 `json:"up_to"`
	// Expired says that the lease of the worker had expired when the acknowledgement arrived.
	Expired bool `json:"expired,omitempty"`
}

// Change is what happened to a worker, a registry entry, an instance, a configuration, a wave, a fault or the traffic.
type Change string

// The changes of workers.
const (
	ChangeBoot         Change = "boot"          // the worker is up and runs nothing; Service, Labels, Capacity are set
	ChangeCapacity     Change = "capacity"      // Capacity has changed
	ChangeDraining     Change = "draining"      // the worker begins to drain
	ChangeCrash        Change = "crash"         // the worker is lost with all that runs there
	ChangeGone         Change = "gone"          // the worker has left as planned, with all that ran there
	ChangeLeaseExpired Change = "lease_expired" // the lease expired; ends of the runs follow
)

// Worker is a change of a worker.
type Worker struct {
	Worker   string    `json:"worker"`
	Boot     int64     `json:"boot,omitempty"`
	Change   Change    `json:"change"`
	Service  string    `json:"service,omitempty"`
	Labels   []string  `json:"labels,omitempty"`
	Capacity Resources `json:"capacity,omitzero"`
	// RejectsOverload says that the worker itself refuses what exceeds its capacity.
	RejectsOverload bool `json:"rejects_overload,omitempty"`
}

// The changes of registry entries.
const (
	ChangeReady   Change = "ready"   // the entry says that the worker takes tasks
	ChangeRemoved Change = "removed" // the entry is gone
	// An entry that says that the worker drains has ChangeDraining.
)

// Registry is a change of a registry entry that the store has acknowledged.
type Registry struct {
	Worker string `json:"worker"`
	Boot   int64  `json:"boot,omitempty"`
	Change Change `json:"change"`
	// Instance is the instance that acknowledged the change, where one does; empty for the store.
	Instance string `json:"instance,omitempty"`
}

// ChangeEnded is the end of a process of an instance, a wave's maintenance of a machine, or the traffic. The start of an
// instance has ChangeBoot.
const ChangeEnded Change = "ended"

// Instance is the begin (ChangeBoot) or the end (ChangeEnded) of a process of an instance.
type Instance struct {
	Instance string `json:"instance"`
	Change   Change `json:"change"`
}

// The changes of a configuration.
const (
	ChangeWritten   Change = "written"   // the operator has sent the version
	ChangeConfirmed Change = "confirmed" // the store has acknowledged it
)

// Configuration is a version of the configuration. Queues are set with ChangeWritten.
type Configuration struct {
	Version uint64  `json:"version"`
	Change  Change  `json:"change"`
	Queues  []Queue `json:"queues,omitempty"`
}

// Queue is a queue of a configuration.
type Queue struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	// MaxAttempts is the number of failed runs after which a task is not started again; 0 means no limit is known.
	MaxAttempts int `json:"max_attempts,omitempty"`
	// RestrictsWorkers says that a placement policy permits only some workers.
	RestrictsWorkers bool `json:"restricts_workers,omitempty"`
}

// The changes of a wave. Those of one machine have Machine set.
const (
	ChangeRequested Change = "requested" // Machines and Maximum are set
	ChangeBegan     Change = "began"     // the maintenance of Machine has begun
	ChangeCompleted Change = "completed" // the wave is reported as completed
	// ChangeEnded: the maintenance of Machine has ended. ChangeGone: Machine does not stay, and is not waited for.
)

// Wave is a change of a wave of maintenance.
type Wave struct {
	Wave     uint64   `json:"wave"`
	Change   Change   `json:"change"`
	Machine  string   `json:"machine,omitempty"`
	Machines []string `json:"machines,omitempty"`
	Maximum  int      `json:"maximum,omitempty"`
	// Holder and Token are the instance that requested the maintenance of Machine and its fencing token, with ChangeBegan.
	Holder string `json:"holder,omitempty"`
	Token  uint64 `json:"token,omitempty"`
}

// TargetKind is what a fault disturbs.
type TargetKind string

// The targets of faults.
const (
	TargetStore    TargetKind = "store"    // for all instances
	TargetInstance TargetKind = "instance" // the process or machine Name
	TargetWorker   TargetKind = "worker"   // the worker Name
	TargetLink     TargetKind = "link"     // the link of the instance or worker Name, to Peer or, if that is empty, to all
)

// FaultKind is how a fault disturbs its target.
type FaultKind string

// The kinds of faults.
const (
	FaultKill        FaultKind = "kill"         // the process ends without notice
	FaultTerminate   FaultKind = "terminate"    // the process is told to end
	FaultFreeze      FaultKind = "freeze"       // the process stands still
	FaultSlow        FaultKind = "slow"         // all of its work takes longer
	FaultDown        FaultKind = "down"         // requests are refused
	FaultSilent      FaultKind = "silent"       // requests get no answer and have no effect
	FaultAnswersLost FaultKind = "answers_lost" // requests take effect and get no answer
	FaultLate        FaultKind = "late"         // requests get no answer and take effect later
	FaultCut         FaultKind = "cut"          // nothing passes
	FaultClock       FaultKind = "clock"        // the time of day jumps
	FaultFailing     FaultKind = "failing"      // a worker fails all that it runs, and answers
)

// The changes of a fault and of the traffic.
const (
	ChangeBegin Change = "begin"
	ChangeEnd   Change = "end"
)

// Fault is the begin (ChangeBegin) or end (ChangeEnd) of an injected fault.
type Fault struct {
	// ID is the same in the begin and the end of a fault, and unique in the history.
	ID     string     `json:"id"`
	Change Change     `json:"change"`
	Kind   FaultKind  `json:"kind"`
	Target TargetKind `json:"target"`
	Name   string     `json:"name,omitempty"`
	Peer   string     `json:"peer,omitempty"`
}

// Traffic is the begin or the end of the time in which callers submit jobs.
type Traffic struct {
	Change Change `json:"change"`
}

// Gap stands where the recorder dropped events.
type Gap struct {
	Dropped uint64 `json:"dropped"`
}
