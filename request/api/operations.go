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

// defaultStatusTasks bounds the tasks in a status response without a limit parameter.
const defaultStatusTasks = 1000

// partitionOfSpec decodes and checks the intent specification in the body, and returns its partition.
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

// checkGang rejects a gang that would not fit even in an empty cell. It accepts every gang if no workers are listed,
// since the capacity of the cell is then unknown.
func (s *Server) checkGang(spec model.IntentSpec) error {
	workers := s.backend.WorkerCapacities()
	if spec.Kind != model.KindGang || len(workers) == 0 {
		return nil
	}
	maxTasks := int64(0)
	for _, worker := range workers {
		maxTasks += spec.TaskDemand.CopiesThatFit(worker)
	}
	if int64(spec.Tasks) > maxTasks {
		return verdict.Invalid("tasks", "expected at most %d, which is how many of these tasks the whole empty cell holds at once, got %d", maxTasks, spec.Tasks)
	}
	return nil
}

// partitionOfID returns the partition contained in the id of an intent or plan, such as i17-….
func (s *Server) partitionOfID(req *request) (int, error) {
	prefix, _, ok := strings.Cut(req.id, "-")
	if !ok || len(prefix) < 2 || (prefix[0] != 'i' && prefix[0] != 'p') {
		return 0, verdict.Invalid("id", "expected an id of a plan or an intent, got %q", req.id)
	}
	n, err := strconv.Atoi(prefix[1:])
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

// StatusReply is the state of an intent. It contains the members of intent.Status.
type StatusReply struct {
	Intent model.Intent `json:"intent"`
	// Counts holds the number of tasks by state, including omitted tasks.
	Counts map[string]int `json:"counts"`
	// Tasks holds the tasks up to the limit; tasks that have not ended come first.
	Tasks []intent.TaskStatus `json:"tasks"`
	// Omitted is the number of tasks beyond the limit.
	Omitted int `json:"omitted,omitempty"`
}

func (s *Server) status(_ context.Context, req *request) (any, error) {
	limit, err := req.queryLimit(defaultStatusTasks, model.MaxTasks)
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

// queryLimit returns the query parameter limit, or defaultLimit if it is not set.
func (r *request) queryLimit(defaultLimit, maxLimit int) (int, error) {
	text := r.query.Get("limit")
	if text == "" {
		return defaultLimit, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 || n > maxLimit {
		return 0, verdict.Invalid("limit", "expected 1 to %d entries, got %q", maxLimit, text)
	}
	return n, nil
}

func (s *Server) dump(_ context.Context, req *request) (any, error) {
	limit, err := req.queryLimit(instance.DefaultDumpLimit, instance.MaxDumpLimit)
	if err != nil {
		return nil, err
	}
	return s.backend.Dump(limit), nil
}
