package api

import (
	"context"
	"strings"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/version/intent"
)

// maxExplainedTasks bounds the number of tasks that one response explains.
const maxExplainedTasks = 20

// ExplainReply holds the explanations of an intent's tasks.
type ExplainReply struct {
	Explanations []intent.Explanation `json:"explanations"`
	// Omitted is the number of tasks beyond maxExplainedTasks.
	Omitted int `json:"omitted"`
}

// explain explains the task in the query, given by its full id or by the part after the intent's id, or otherwise all
// tasks that have not ended.
func (s *Server) explain(ctx context.Context, req *request) (any, error) {
	reply := ExplainReply{Explanations: []intent.Explanation{}}
	tasks, err := s.tasksToExplain(req)
	if err != nil {
		return nil, err
	}
	for _, task := range tasks {
		if len(reply.Explanations) == maxExplainedTasks {
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
	if task := req.query.Get("task"); task != "" {
		return []model.TaskID{model.TaskID(req.id + "/" + strings.TrimPrefix(task, req.id+"/"))}, nil
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
