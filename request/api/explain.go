package api

import (
	"context"
	"strings"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/version/intent"
)

// maxExplained bounds the tasks that one request explains.
const maxExplained = 20

// Explanation says why a task is in its state.
type Explanation struct {
	Task    intent.TaskStatus `json:"task"`
	Reasons []string          `json:"reasons"`
}

// ExplainReply explains tasks of an intent.
type ExplainReply struct {
	Explanations []Explanation `json:"explanations"`
	// Omitted counts the tasks beyond the bound of one answer.
	Omitted int `json:"omitted"`
}

// explain explains one task, or all that have not ended.
func (s *Server) explain(_ context.Context, req *request) (any, error) {
	status, err := s.backend.Status(req.partition, req.id)
	if err != nil {
		return nil, err
	}
	reply := ExplainReply{Explanations: []Explanation{}}
	wanted := req.query.Get("task")
	for _, t := range status.Tasks {
		if !explains(wanted, req.id, t) {
			continue
		}
		if len(reply.Explanations) == maxExplained {
			reply.Omitted++
			continue
		}
		reply.Explanations = append(reply.Explanations, Explanation{Task: t, Reasons: reasons(t)})
	}
	if wanted != "" && len(reply.Explanations) == 0 {
		return nil, verdict.New(verdict.NotRun, verdict.CodeNotFound, "the intent has no such task")
	}
	return reply, nil
}

// explains reports whether a task was asked for, by its whole id or by the part after the intent.
func explains(wanted, id string, t intent.TaskStatus) bool {
	if wanted == "" {
		return t.Outcome == nil
	}
	return t.ID == model.TaskID(wanted) || t.ID == model.TaskID(id+"/"+strings.TrimPrefix(wanted, id+"/"))
}

func reasons(t intent.TaskStatus) []string {
	if t.Reason == "" {
		return []string{}
	}
	return []string{t.Reason}
}
