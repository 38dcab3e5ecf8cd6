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

// randomIDPattern matches the identifiers that the scheduler draws.
var randomIDPattern = regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}`)

// maskRandomIDs removes the random identifiers from a text.
func maskRandomIDs(text string) string { return randomIDPattern.ReplaceAllString(text, "id") }

// contentOfWorkerRequest returns the content of a request to a worker.
func contentOfWorkerRequest(req any) string {
	data, err := json.Marshal(req)
	if err != nil {
		panic(err)
	}
	return maskRandomIDs(fmt.Sprintf("%T %s", req, data))
}

// contentOfTxn returns the content of a transaction.
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

// contentOfPeerRequest returns the content of a message between instances.
func contentOfPeerRequest(req *peerpb.Request) string {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(req)
	if err != nil {
		panic(err)
	}
	return maskRandomIDs(string(data))
}

// stepOfPeerRequest returns the step that a message belongs to.
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

// stepOfTxn returns the step that a transaction belongs to.
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
