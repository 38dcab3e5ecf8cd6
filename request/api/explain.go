package api

import (
	"context"
	"strings"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/version/intent"
)

// maxExplained bounds the tasks that one request explains.
const maxExplained = 20

// ExplainReply explains tasks of an intent.
type ExplainReply struct {
	Explanations []intent.Explanation `json:"explanations"`
	// Omitted counts the tasks beyond the bound of one answer.
	Omitted int `json:"omitted"`
}

// explain explains one task, named by its whole id or by the part after the intent, or all that have not ended.
func (s *Server) explain(ctx context.Context, req *request) (any, error) {
	reply := ExplainReply{Explanations: []intent.Explanation{}}
	tasks, err := s.tasksToExplain(req)
	if err != nil {
		return nil, err
	}
	for _, task := range tasks {
		if len(reply.Explanations) == maxExplained {
			reply.Omitted++
			continue
		}
		e, err := s.backend.Explain(ctx, req.partition, task)
		if err != nil {
			return nil, err
		}
		reply.Explanations = append(reply.Explanations, e)
	}
	return reply, nil
}

func (s *Server) tasksToExplain(req *request) ([]model.TaskID, error) {
	if wanted := req.query.Get("task"); wanted != "" {
		return []model.TaskID{model.TaskID(req.id + "/" + strings.TrimPrefix(wanted, req.id+"/"))}, nil
	}
	status, err := s.backend.Status(req.partition, req.id)
	var tasks []model.TaskID
	for _, t := range status.Tasks {
		if t.Outcome == nil {
			tasks = append(tasks, t.ID)
		}
	}
	return tasks, err
}
