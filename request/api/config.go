package api

import (
	"context"
	"strings"

	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/version/config"
)

// ConfigReply is the configuration that the instance serving the request applies.
type ConfigReply struct {
	Version  uint64          `json:"version"`
	Document config.Document `json:"document"`
}

func (s *Server) getConfig(context.Context, *request) (any, error) {
	applied := s.backend.Config()
	return ConfigReply{Version: applied.Version, Document: applied.Document}, nil
}

// planConfig checks that the document is well-formed and passes it to the backend, which checks its content.
func (s *Server) planConfig(ctx context.Context, req *request) (any, error) {
	var document any
	if err := req.decode(&document); err != nil {
		return nil, err
	}
	return s.backend.PlanConfig(ctx, req.body)
}

func (s *Server) confirmConfig(ctx context.Context, req *request) (any, error) {
	if err := req.decode(&struct{}{}); err != nil {
		return nil, err
	}
	if !isVisibleASCII(req.id, maxHeaderTextBytes) || strings.Contains(req.id, "/") {
		return nil, verdict.Invalid("id", "expected the id of a plan of a configuration")
	}
	return s.backend.ConfirmConfig(ctx, req.id)
}

func (s *Server) configStatus(ctx context.Context, _ *request) (any, error) {
	return s.backend.ConfigStatus(ctx)
}
