package api

import (
	"context"
	"sort"
	"strconv"
	"strings"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/process/instance"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/version/intent"
)

// defaultStatusTasks bounds the tasks of a status whose caller names no limit.
const defaultStatusTasks = 1000

// partitionOfSpec finds the partition of a stated intent.
func (s *Server) partitionOfSpec(req *request) (int, error) {
	if err := req.decode(&req.spec); err != nil {
		return 0, err
	}
	if err := req.spec.Check(); err != nil {
		return 0, err
	}
	if err := req.spec.CheckAt(s.opts.Clock.Now()); err != nil {
		return 0, err
	}
	if err := s.checkGang(req.spec); err != nil {
		return 0, err
	}
	return model.IntentPartition(req.spec.Account, req.spec.Team), nil
}

// checkGang refuses a gang that cannot run at once even in an empty cell. An empty list of workers proves nothing.
func (s *Server) checkGang(spec model.IntentSpec) error {
	workers := s.backend.WorkerCapacities()
	if spec.Kind != model.KindGang || len(workers) == 0 {
		return nil
	}
	room := int64(0)
	for _, capacity := range workers {
		room += spec.Each.Copies(capacity)
	}
	if int64(spec.Tasks) > room {
		return verdict.Invalid("tasks", "expected at most %d, which is how many of these tasks the whole empty cell holds at once, got %d", room, spec.Tasks)
	}
	return nil
}

// partitionOfID finds the partition in an id such as i17-….
func (s *Server) partitionOfID(req *request) (int, error) {
	head, _, ok := strings.Cut(req.id, "-")
	if !ok || len(head) < 2 || (head[0] != 'i' && head[0] != 'p') {
		return 0, verdict.Invalid("id", "expected an id of a plan or an intent, got %q", req.id)
	}
	n, err := strconv.Atoi(head[1:])
	if err != nil || n < 0 || n >= model.IntentPartitions {
		return 0, verdict.Invalid("id", "expected an id of a plan or an intent, got %q", req.id)
	}
	return n, nil
}

func (s *Server) plan(ctx context.Context, req *request) (any, error) {
	return s.backend.Plan(ctx, req.partition, req.spec)
}

func (s *Server) getPlan(_ context.Context, req *request) (any, error) {
	return s.backend.GetPlan(req.partition, req.id)
}

func (s *Server) confirm(ctx context.Context, req *request) (any, error) {
	if err := req.decode(&struct{}{}); err != nil {
		return nil, err
	}
	return s.backend.Confirm(ctx, req.partition, req.id)
}

func (s *Server) cancel(ctx context.Context, req *request) (any, error) {
	if err := req.decode(&struct{}{}); err != nil {
		return nil, err
	}
	return s.backend.Cancel(ctx, req.partition, req.id)
}

// StatusReply is the state of an intent. It has the members of intent.Status.
type StatusReply struct {
	Intent model.Intent `json:"intent"`
	// Counts are the tasks by state, including those that are left out.
	Counts map[string]int `json:"counts"`
	// Tasks lists tasks that have not ended first.
	Tasks []intent.TaskStatus `json:"tasks"`
	// Omitted counts the tasks beyond the limit.
	Omitted int `json:"omitted,omitempty"`
}

func (s *Server) status(_ context.Context, req *request) (any, error) {
	limit, err := req.limit(defaultStatusTasks, model.MaxTasks)
	if err != nil {
		return nil, err
	}
	status, err := s.backend.Status(req.partition, req.id)
	if err != nil {
		return nil, err
	}
	reply := StatusReply{Intent: status.Intent, Counts: map[string]int{}, Tasks: append([]intent.TaskStatus{}, status.Tasks...)}
	for _, t := range reply.Tasks {
		reply.Counts[t.State]++
	}
	sort.SliceStable(reply.Tasks, func(i, j int) bool { return reply.Tasks[i].Outcome == nil && reply.Tasks[j].Outcome != nil })
	if len(reply.Tasks) > limit {
		reply.Omitted = len(reply.Tasks) - limit
		reply.Tasks = reply.Tasks[:limit]
	}
	return reply, nil
}

// limit returns the query parameter of that name.
func (r *request) limit(standard, high int) (int, error) {
	text := r.query.Get("limit")
	if text == "" {
		return standard, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 || n > high {
		return 0, verdict.Invalid("limit", "expected 1 to %d entries, got %q", high, text)
	}
	return n, nil
}

func (s *Server) dump(_ context.Context, req *request) (any, error) {
	limit, err := req.limit(instance.DefaultDumpLimit, instance.MaxDumpLimit)
	if err != nil {
		return nil, err
	}
	return s.backend.Dump(limit), nil
}
