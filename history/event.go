// Package history records what the callers, workers, operators and machines of a cell observe, and reads such records.
//
// A history is a file of JSON lines. The first line is a Header; each other line is an Event. The times of the events are
// microseconds since the start of the history on one monotonic clock and never decrease. A complete history ends with an
// event of kind KindClosed.
//
// The order of the events is the order of cause and effect: a client records a call before it sends it and an answer after it
// has received it; a worker records a start or an end before it tells anyone; a fault is recorded before it begins and after it
// has ended. Package history/check decides from a history alone whether the rules of the platform were kept.
package history

import (
	"encoding/json"
	"time"
)

// SchemaVersion is the version of the format of the lines. It changes when a reader of the former version could misread a line.
const SchemaVersion = 1

// formatName identifies a history in its header.
const formatName = "lentiltide-history"

// Header is the first line of a history.
type Header struct {
	Format string `json:"format"`
	Schema int    `json:"schema"`
	// Source says what recorded the history, for example the name of a test and its seed.
	Source string `json:"source,omitempty"`
}

// Kind states what an event is about and which field of the event holds the details.
type Kind string

// The kinds of events, each with the field that it requires.
const (
	KindCall            Kind = "call"            // Call: a client has sent a request.
	KindAnswer          Kind = "answer"          // Answer: the client has received the response, or gives up waiting for it.
	KindJob             Kind = "job"             // Job: what a client submits, before its first call for the job.
	KindStart           Kind = "start"           // Start: a worker has started a run.
	KindEnd             Kind = "end"             // End: a run has ended on its worker.
	KindListing         Kind = "listing"         // Listing: a worker has listed completions in a response.
	KindAcknowledgement Kind = "acknowledgement" // Acknowledgement: completions were acknowledged to a worker.
	KindWorker          Kind = "worker"          // Worker: a change of a worker, as the worker knows it.
	KindRegistry        Kind = "registry"        // Registry: the store has accepted or removed a registry entry of a worker.
	KindInstance        Kind = "instance"        // Instance: a process of an instance began or ended.
	KindConfiguration   Kind = "configuration"   // Configuration: the operator wrote a version, or it was confirmed.
	KindWave            Kind = "wave"            // Wave: a wave of maintenance or one of its machines changed.
	KindFault           Kind = "fault"           // Fault: an injected fault begins or ends.
	KindTraffic         Kind = "traffic"         // Traffic: the callers begin or stop submitting jobs.
	KindGap             Kind = "gap"             // Gap: events were dropped here.
	KindClosed          Kind = "closed"          // no details: the history is complete.
)

// Event is one observation. Exactly the field that belongs to Kind is set.
type Event struct {
	// AtUS is the time since the start of the history in microseconds. Recorder.Record sets it.
	AtUS int64 `json:"at_us"`
	Kind Kind  `json:"kind"`
	// Observer names who saw the event, for example "client-3" or "worker-12".
	Observer string `json:"observer,omitempty"`

	Call            *Call            `json:"call,omitempty"`
	Answer          *Answer          `json:"answer,omitempty"`
	Job             *Job             `json:"job,omitempty"`
	Start           *Start           `json:"start,omitempty"`
	End             *End             `json:"end,omitempty"`
	Listing         *Listing         `json:"listing,omitempty"`
	Acknowledgement *Acknowledgement `json:"acknowledgement,omitempty"`
	Worker          *Worker          `json:"worker,omitempty"`
	Registry        *Registry        `json:"registry,omitempty"`
	Instance        *Instance        `json:"instance,omitempty"`
	Configuration   *Configuration   `json:"configuration,omitempty"`
	Wave            *Wave            `json:"wave,omitempty"`
	Fault           *Fault           `json:"fault,omitempty"`
	Traffic         *Traffic         `json:"traffic,omitempty"`
	Gap             *Gap             `json:"gap,omitempty"`
}

// At returns the time of the event since the start of the history.
func (e *Event) At() time.Duration { return time.Duration(e.AtUS) * time.Microsecond }

// String returns the event as a line of a history, without the newline.
func (e *Event) String() string {
	b, err := json.Marshal(e)
	if err != nil {
		return string(e.Kind) + ": " + err.Error()
	}
	return string(b)
}

// hasDetails reports whether the field that Kind requires is set.
func (e *Event) hasDetails() bool {
	switch e.Kind {
	case KindCall:
		return e.Call != nil
	case KindAnswer:
		return e.Answer != nil
	case KindJob:
		return e.Job != nil
	case KindStart:
		return e.Start != nil
	case KindEnd:
		return e.End != nil
	case KindListing:
		return e.Listing != nil
	case KindAcknowledgement:
		return e.Acknowledgement != nil
	case KindWorker:
		return e.Worker != nil
	case KindRegistry:
		return e.Registry != nil
	case KindInstance:
		return e.Instance != nil
	case KindConfiguration:
		return e.Configuration != nil
	case KindWave:
		return e.Wave != nil
	case KindFault:
		return e.Fault != nil
	case KindTraffic:
		return e.Traffic != nil
	case KindGap:
		return e.Gap != nil
	case KindClosed:
		return true
	}
	return false
}
