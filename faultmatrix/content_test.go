package faultmatrix

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/lentiltide/lentiltide/connection/peer/peerpb"
	"github.com/lentiltide/lentiltide/store"
)

// randomIDPattern matches the random UUIDs that the scheduler generates.
var randomIDPattern = regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}`)

// maskRandomIDs replaces the random identifiers in a text by a constant.
func maskRandomIDs(text string) string { return randomIDPattern.ReplaceAllString(text, "id") }

// contentOfWorkerRequest returns the type and the JSON encoding of a request to a worker, without random identifiers. The
// latency of the message depends on it, so a renamed request type changes the order of the messages.
func contentOfWorkerRequest(req any) string {
	data, err := json.Marshal(req)
	if err != nil {
		panic(err)
	}
	return maskRandomIDs(fmt.Sprintf("%T %s", req, data))
}

// contentOfTxn returns the conditions and writes of a transaction, without random identifiers.
func contentOfTxn(txn store.Txn) string {
	var b strings.Builder
	for _, c := range txn.Conditions {
		fmt.Fprintf(&b, "%s@%d ", c.Key, c.Version)
	}
	for _, write := range txn.Writes {
		fmt.Fprintf(&b, "%s=%s ", write.Key, write.Value)
	}
	return maskRandomIDs(b.String())
}

// contentOfPeerRequest returns the encoding of a message between instances, without random identifiers.
func contentOfPeerRequest(req *peerpb.Request) string {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(req)
	if err != nil {
		panic(err)
	}
	return maskRandomIDs(string(data))
}

// stepOfPeerRequest returns the step to which a message between instances belongs, or "" for a message of no step.
func stepOfPeerRequest(req *peerpb.Request) step {
	switch body := req.GetBody().(type) {
	case *peerpb.Request_Forward:
		return stepOfPath(body.Forward.GetPath())
	case *peerpb.Request_Offer, *peerpb.Request_Claim, *peerpb.Request_Hold:
		return stepReserve
	case *peerpb.Request_StartHeld:
		return stepStart
	case *peerpb.Request_Report:
		if body.Report.GetStarted() {
			return stepRun
		}
		return stepFinish
	case *peerpb.Request_StopTask:
		if body.StopTask.GetCheckpoint() {
			return stepPreempt
		}
		return stepCancel
	case *peerpb.Request_FenceIntent:
		return stepTakeOver
	case *peerpb.Request_Handover:
		return stepHandOver
	case *peerpb.Request_ConfigChanged:
		return stepConfig
	}
	return ""
}

// stepOfPath returns the step to which a caller's request belongs, or "" for a request of no step.
func stepOfPath(path string) step {
	switch {
	case strings.HasSuffix(path, "/plans"):
		return stepPlan
	case strings.HasSuffix(path, "/confirm"):
		return stepConfirm
	case strings.HasSuffix(path, "/cancel"):
		return stepCancel
	case strings.HasSuffix(path, "/calls"):
		return stepAnswer
	case strings.Contains(path, "config"):
		return stepConfig
	}
	return ""
}

// stepOfTxn returns the step to which a transaction belongs, or "" for a transaction of no step.
func (sim *simulation) stepOfTxn(txn store.Txn) step {
	head, _, _ := strings.Cut(txn.Writes[0].Key, "/")
	switch head {
	case "plan":
		return stepPlan
	case "intent":
		return stepCommit
	case "outcome":
		return stepFinish
	case "key":
		return stepAnswer
	case "config":
		return stepConfig
	case "partition":
		sim.mu.Lock()
		defer sim.mu.Unlock()
		if sim.handingOver {
			return stepHandOver
		}
		return stepTakeOver
	}
	return ""
}
