// Package cell starts a stand-in platform with stand-in workers over loopback TCP, for tests, examples and the demo. A
// cell runs inside the process that starts it and keeps its state in memory.
package cell

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/lentiltide/lentiltide/history"
	"github.com/lentiltide/lentiltide/model"
	standinplatform "github.com/lentiltide/lentiltide/standin/platform"
	"github.com/lentiltide/lentiltide/standin/server"
	standinworker "github.com/lentiltide/lentiltide/standin/worker"
	"github.com/lentiltide/lentiltide/store"
)

// Options describes a cell.
type Options struct {
	// Listen is the listen address of the platform; empty means a free loopback port.
	Listen string
	// Workers is the number of workers, PerRack the number of workers in each rack.
	Workers, PerRack int
	// Zones are the availability zones, assigned to the racks in turn.
	Zones []string
	// Region is the region of all zones.
	Region string
	// Capacity is the capacity of each worker.
	Capacity model.Resources
	// Behave selects how a task runs; nil means standinworker.DefaultBehavior.
	Behave func(model.Task) standinworker.Behavior
	// History records what the workers observe, with Name as the name of the cell; nil records nothing.
	History *history.Recorder
	Name    string
}

// Cell is a running stand-in platform with workers.
type Cell struct {
	Table    *standinplatform.Table
	Objects  *standinplatform.Objects
	Members  *standinplatform.InstanceList
	Observer *standinworker.Observer
	// Agents are the workers by id.
	Agents map[string]*standinworker.Agent
	// URL is the base URL of the platform.
	URL     string
	servers []*http.Server
}

// Start starts a cell. The caller must close it.
func Start(opts Options) (*Cell, error) {
	c := &Cell{
		Table: standinplatform.NewTable(), Objects: standinplatform.NewObjects(), Members: standinplatform.NewInstanceList(),
		Observer: standinworker.NewObserver(time.Now), Agents: map[string]*standinworker.Agent{},
	}
	c.Observer.SetHistory(opts.History, opts.Name)
	for i := range opts.Workers {
		if err := c.addWorker(opts, i); err != nil {
			c.Close()
			return nil, err
		}
	}
	if opts.Listen == "" {
		opts.Listen = "127.0.0.1:0"
	}
	url, err := c.serve(opts.Listen, server.NewPlatform(c.Table, c.Objects, c.Members))
	if err != nil {
		c.Close()
		return nil, err
	}
	c.URL = url
	return c, nil
}

// addWorker starts the i-th worker and adds it to the instance list.
func (c *Cell) addWorker(opts Options, i int) error {
	id := fmt.Sprintf("worker-%03d", i)
	rack := i / opts.PerRack
	agent := standinworker.New(standinworker.Options{
		ID: id, Capacity: opts.Capacity, Clock: clockwork.NewRealClock(), Observer: c.Observer, Behave: opts.Behave,
	})
	url, err := c.serve("127.0.0.1:0", server.NewWorker(agent))
	if err != nil {
		return err
	}
	c.Agents[id] = agent
	c.Members.Set(store.Member{
		ID: id, Role: store.RoleWorker, State: store.MemberLive, Region: opts.Region,
		Zone: opts.Zones[rack%len(opts.Zones)], Rack: fmt.Sprintf("rack-%02d", rack), Address: url, Capacity: opts.Capacity,
	})
	return nil
}

// serve serves a handler on an address and returns its base URL.
func (c *Cell) serve(address string, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	s := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	c.servers = append(c.servers, s)
	go func() { _ = s.Serve(listener) }()
	return "http://" + listener.Addr().String(), nil
}

// Close closes all servers and their connections.
func (c *Cell) Close() {
	for _, s := range c.servers {
		_ = s.Close()
	}
}
