package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/standin/backends"
	"github.com/lentiltide/lentiltide/standin/wire"
)

// Names and times of the stand-in deployment.
const (
	host, prefix, service = "desk.example", "/jobs/", "rental-desk"
	heartbeat             = 1500 * time.Millisecond
	// entryLapse is the silence after which the entry of an executor is removed: three check-in intervals.
	entryLapse = 3 * heartbeat
	// upkeepTakes is maintenanceS.
	upkeepTakes   = 2 * time.Second
	clientTimeout = 3 * time.Second
)

// cell is a platform with executors, and the instances of the system as separate processes.
type cell struct {
	record   *record
	seen     *observations
	dir      string
	tables   *backends.Tables
	machines []*machine
	nodes    []*node
	client   *http.Client
	servers  []*http.Server

	mu sync.Mutex
	// waves are the machines of the waves by number, and upkeep the state of the machines.
	waves  map[int]wave
	upkeep map[string]*upkeepState
	// upkeeps are the upkeeps that have begun.
	upkeeps []upkeepSeen
}

// wave is a wave of upkeep that the operator has asked for.
type wave struct {
	machines []string
	maximum  int
}

// upkeepState is what the platform knows of a machine.
type upkeepState struct {
	state string
	fence uint64
	// done are the waves of which the machine has had its upkeep.
	done map[int]bool
}

// upkeepSeen is an upkeep that has begun, with the tasks at work that it has ended.
type upkeepSeen struct {
	at      time.Time
	machine string
	wave    int
	ended   []string
}

// node is an instance of the system.
type node struct {
	name, settings, caller string
	cmd                    *exec.Cmd
}

// newCell starts the platform and the executors.
func newCell(rec *record, executors int, kinds []string) (*cell, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	c := &cell{record: rec, seen: newObservations(), dir: dir, tables: backends.NewTables(), client: &http.Client{}, waves: map[int]wave{}, upkeep: map[string]*upkeepState{}}
	for i := range executors {
		m := &machine{
			name: fmt.Sprintf("m-%02d", i), kind: kinds[i%len(kinds)], rack: fmt.Sprintf("r%d", 1+i/8), zone: "tallinn-port", address: "127.0.0.1:0",
			cpu: 16000, memory: 65536, cell: c,
		}
		c.machines = append(c.machines, m)
		c.upkeep[m.name] = &upkeepState{state: "up", done: map[int]bool{}}
		if err := m.start(); err != nil {
			return c, err
		}
	}
	return c, nil
}

// serve serves a handler on a free loopback port.
func (c *cell) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler}
	c.servers = append(c.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// writeEntry writes the entry of an executor into the registry.
func (c *cell) writeEntry(e *executor) {
	m := e.machine
	value, _ := json.Marshal(map[string]any{
		"service": service, "address": m.address, "zone": m.zone, "version": "1", "slots": 8, "state": "ready", "coldRemainingMs": 0, "sequence": 1,
		"machine": m.name, "labels": []string{m.kind, m.rack}, "born": e.born.UnixMilli(),
		"capacity": map[string]any{"cpu": m.cpu, "memoryRequestMb": m.memory, "gpu": 0},
	})
	c.tables.Put(backend.RowKey{Table: "servers", Key: e.id}, value)
}

// entrySilent removes the entry of an executor that has ended when it has been silent for long enough.
func (c *cell) entrySilent(id string) {
	time.AfterFunc(entryLapse, func() { c.tables.Delete(backend.RowKey{Table: "servers", Key: id}) })
}

// configure writes the configuration.
func (c *cell) configure(version int) {
	value, _ := json.Marshal(map[string]any{
		"version": version, "services": []any{map[string]any{"name": service, "rejectsOverload": false}}, "limits": map[string]any{},
		"routes": []any{map[string]any{
			"name": "desk", "host": host, "prefix": prefix, "service": service, "priority": 1, "maxAttempts": 3, "stretch": 2.2, "targetDurationMs": 1200,
		}},
	})
	c.tables.Put(backend.RowKey{Table: "op", Key: "config"}, value)
	c.record.logf("the operator's configuration %d is acknowledged", version)
}

// startNodes starts instances of the system with the settings of a small deployment.
func (c *cell) startNodes(program string, count int) error {
	store, err := c.serve(wire.Tables(c.tables))
	if err != nil {
		return err
	}
	cloud, err := c.serve(c.cloud())
	if err != nil {
		return err
	}
	for i := range count {
		addresses, err := freeAddresses(loopbackOf(i), 4)
		if err != nil {
			return err
		}
		n := &node{name: fmt.Sprintf("front-%d", i+1), caller: addresses[0]}
		value, _ := json.Marshal(map[string]any{
			"instance": n.name, "region": "ee-north", "zone": "tallinn-port", "caller_address": n.caller, "ready_address": addresses[1],
			"peer_address": addresses[2], "metrics_address": addresses[3], "store_address": store, "advice_address": "", "machines_address": cloud,
			"store_row_bytes": 65536, "cpu_share": 0.4, "link_mbps": 1000, "memory_mb": 284, "max_lease_ms": 10000, "config_deadline_ms": 2000,
			"stop_timeout_ms": 400, "retention_s": 120, "grace_s": 6,
		})
		n.settings = filepath.Join(c.dir, n.name+".json")
		if err := os.WriteFile(n.settings, value, 0o600); err != nil {
			return err
		}
		log, err := os.Create(filepath.Join(c.dir, n.name+".log"))
		if err != nil {
			return err
		}
		n.cmd = exec.Command(program)
		n.cmd.Env = []string{"LENTILTIDE_CONFIG=" + n.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C"}
		n.cmd.Stdout, n.cmd.Stderr = log, log
		if err := n.cmd.Start(); err != nil {
			return err
		}
		c.nodes = append(c.nodes, n)
		c.record.logf("instance %s is started as process %d, callers at %s", n.name, n.cmd.Process.Pid, n.caller)
	}
	return nil
}

// loopbackOf returns the loopback address of an instance. Scripts that run side by side use different ones, by the id of their process.
func loopbackOf(instance int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+(pid>>8)%250, pid%256, 11+instance)
}

// freeAddresses returns addresses with different ports of an IP address that were free during the call.
func freeAddresses(ip string, count int) ([]string, error) {
	var out []string
	for range count {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		out = append(out, l.Addr().String())
	}
	return out, nil
}

// close ends all processes and servers.
func (c *cell) close() {
	for _, n := range c.nodes {
		_ = n.cmd.Process.Signal(syscall.SIGKILL)
		_ = n.cmd.Wait()
	}
	for _, m := range c.machines {
		if e := m.present(); e != nil {
			e.lifeOver()
			_ = e.server.Close()
		}
	}
	for _, s := range c.servers {
		_ = s.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	} else {
		fmt.Println("logs:", c.dir)
	}
}

// call sends a call of a client to an instance and returns the status, 0 without an answer, and the body.
func (c *cell) call(n *node, method, path, body string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), clientTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+n.caller+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Remaining-Time", fmt.Sprint(clientTimeout.Milliseconds()))
	response, err := c.client.Do(request)
	if err != nil {
		c.record.logf("client: %s %s %s to %s: no answer (%v)", method, path, body, n.name, err)
		return 0, err.Error()
	}
	defer response.Body.Close()
	data, _ := io.ReadAll(response.Body)
	answer := strings.TrimSpace(string(data))
	c.record.logf("client: %s %s %s to %s -> %d %s", method, path, body, n.name, response.StatusCode, answer)
	return response.StatusCode, answer
}

// submit hands a submission in, again at other instances until it is accepted, and returns its id.
func (c *cell) submit(body map[string]any) (string, error) {
	id := fmt.Sprintf("%016x", rand.Uint64())
	value, _ := json.Marshal(body)
	for attempt := range 20 {
		if status, _ := c.call(c.nodes[attempt%len(c.nodes)], http.MethodPost, prefix+id, string(value)); status/100 == 2 {
			return id, nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	return "", fmt.Errorf("submission %s was not accepted", id)
}

// state asks for the state of a submission; empty without a 200.
func (c *cell) state(n *node, id string) string {
	status, answer := c.call(n, http.MethodGet, prefix+id, "")
	var body struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal([]byte(answer), &body) != nil {
		return ""
	}
	return body.State
}

// awaitAccepting waits until an instance accepts calls for the route.
func (c *cell) awaitAccepting() error {
	for range 40 {
		if status, _ := c.call(c.nodes[0], http.MethodGet, prefix, ""); status == http.StatusOK {
			return nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	return fmt.Errorf("the system does not answer")
}
