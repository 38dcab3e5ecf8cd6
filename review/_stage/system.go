package main

import (
	"context"
	"encoding/json"
	"errors"
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
)

const (
	service = "desk"
	host    = "desk.example"
	prefix  = "/jobs/"
	// nodeProgram is the program of the deploy file, below the root of the repository.
	nodeProgram = "target/lentiltide-node"
)

// system is a small deployment: instances of the product as processes, and stand-ins for the platform around them.
type system struct {
	record *record
	dir    string
	store  *store
	nodes  []*node
	cloud  string
	client *http.Client
}

// node is an instance of the product.
type node struct {
	name, front, settings string
	cmd                   *exec.Cmd
	exited                chan struct{}
}

// serve serves a handler on a loopback address until the process ends. An empty address stands for a free port.
func serve(address string, handler http.Handler) (*http.Server, string, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, "", err
	}
	server := &http.Server{Handler: handler, ErrorLog: nil}
	go func() { _ = server.Serve(listener) }()
	return server, listener.Addr().String(), nil
}

// newSystem prepares a deployment with a configuration of one queue. Nothing runs yet.
func newSystem(rec *record) (*system, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s := &system{record: rec, dir: dir, store: newStore(), client: &http.Client{}}
	s.store.put(rowKey{Table: "op", Key: "config"}, map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "desk-queue", "host": host, "prefix": prefix, "service": service, "priority": 0, "maxAttempts": 3,
			"stretch": 2.2, "targetDurationMs": 250,
		}},
		"services": []map[string]any{{"name": service, "rejectsOverload": false}},
		"limits":   map[string]any{},
	})
	return s, nil
}

// startNodes starts instances, each with its own port of the store, which has the instance's name.
func (s *system) startNodes(count int) error {
	for i := range count {
		n := &node{name: fmt.Sprintf("front-zone-a-%d", i+1)}
		_, storeAddress, err := serve("", s.store.handler(n.name))
		if err != nil {
			return err
		}
		var addresses [4]string
		for k := range addresses {
			if addresses[k], err = freeAddress(); err != nil {
				return err
			}
		}
		n.front = addresses[0]
		settings := map[string]any{
			"instance": n.name, "region": "region-a", "zone": "zone-a", "caller_address": n.front, "ready_address": addresses[1],
			"peer_address": addresses[2], "metrics_address": addresses[3], "store_address": storeAddress, "advice_address": "",
			"machines_address": s.cloud, "store_row_bytes": 65536, "cpu_share": 0.4, "link_mbps": 1000.0, "memory_mb": 284,
			"max_lease_ms": maxHold.Milliseconds(), "config_deadline_ms": 2000, "stop_timeout_ms": 400, "retention_s": 120, "grace_s": 6,
		}
		data, err := json.Marshal(settings)
		if err != nil {
			return err
		}
		n.settings = filepath.Join(s.dir, n.name+".json")
		if err := os.WriteFile(n.settings, data, 0o600); err != nil {
			return err
		}
		if err := s.startNode(n); err != nil {
			return err
		}
		s.nodes = append(s.nodes, n)
	}
	return nil
}

// The ports of the instances are outside the range from which the system chooses ports of connections, so that none of them occupies the
// port of an instance.
const firstPort, portCount = 20000, 12000

// nextPort is the number, within the range, of the port that is tried next. It starts at a random one, since cases may run side by side.
var nextPort = rand.IntN(portCount)

// freeAddress returns a loopback address whose port was free during the call, and which no other call returns.
func freeAddress() (string, error) {
	for range portCount {
		nextPort = (nextPort + 1) % portCount
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort))
		if err != nil {
			continue
		}
		defer l.Close()
		return l.Addr().String(), nil
	}
	return "", errors.New("no free port")
}

// startNode starts the process of an instance.
func (s *system) startNode(n *node) error {
	log, err := os.OpenFile(filepath.Join(s.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(nodeProgram)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LENTILTIDE_CONFIG=" + n.settings}
	cmd.Stdout, cmd.Stderr = log, log
	// The instances end with this process, whatever happens to it.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	n.cmd, n.exited = cmd, make(chan struct{})
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(n.exited)
	}()
	s.record.note("process of %s started", n.name)
	return nil
}

// restartNode kills the process of an instance and starts it again after a delay, as the platform does.
func (s *system) restartNode(n *node, delay time.Duration) error {
	s.record.note("SIGKILL to %s", n.name)
	_ = n.cmd.Process.Kill()
	<-n.exited
	time.Sleep(delay)
	return s.startNode(n)
}

// close ends all processes and removes the temporary folder. KEEP=1 keeps it, with the logs.
func (s *system) close() {
	for _, n := range s.nodes {
		_ = n.cmd.Process.Kill()
		<-n.exited
	}
	if os.Getenv("KEEP") == "1" {
		fmt.Println("logs:", s.dir)
		return
	}
	_ = os.RemoveAll(s.dir)
}

// leader returns the instance that leads according to the store, or nil.
func (s *system) leader() *node {
	s.store.mu.Lock()
	value := s.store.rows[rowKey{Table: "leader", Part: "cell", Key: "leader"}].Value
	s.store.mu.Unlock()
	var row struct{ Instance string }
	if json.Unmarshal(value, &row) != nil {
		return nil
	}
	for _, n := range s.nodes {
		if n.name == row.Instance {
			return n
		}
	}
	return nil
}

// addExecutor starts an executor at an address; an empty one stands for a free port.
func (s *system) addExecutor(id, machine, address string, capacity demand, behaviorOf func(string) behavior) (*executor, *http.Server, error) {
	e := newExecutor(id, machine, "", capacity, s.record, behaviorOf)
	server, address, err := serve(address, e)
	if err != nil {
		return nil, nil, err
	}
	e.address = address
	go e.run()
	go e.checkIn(s.store)
	return e, server, nil
}

// answer is the answer to a call of a client. Status 0 means that there was none.
type answer struct {
	status int
	body   string
}

// call sends a call of a client to an instance, and gives up after patience.
func (s *system) call(n *node, method, path, body string, patience time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.front+path, strings.NewReader(body))
	if err != nil {
		return answer{0, err.Error()}
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Remaining-Time", "3000")
	s.record.note("client sends %s %s to %s", method, path, n.name)
	out := answer{0, "no answer"}
	resp, err := s.client.Do(req)
	if err == nil {
		defer resp.Body.Close()
		if data, err := io.ReadAll(resp.Body); err == nil {
			out = answer{resp.StatusCode, strings.TrimSpace(string(data))}
		}
	}
	s.record.note("client gets %d %s for %s %s", out.status, out.body, method, path)
	return out
}

// submit sends a submission, like a sound client, until it is accepted or refused for good.
func (s *system) submit(n *node, id, body string) error {
	for range 5 {
		if a := s.call(n, http.MethodPost, prefix+id, body, 3*time.Second); a.status == http.StatusOK {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("submission %s was not accepted", id)
}

// state asks for the state of a submission; it is empty if there is no answer.
func (s *system) state(n *node, id string) string {
	a := s.call(n, http.MethodGet, prefix+id, "", 3*time.Second)
	var body struct{ State string }
	if a.status != http.StatusOK || json.Unmarshal([]byte(a.body), &body) != nil {
		return ""
	}
	return body.State
}

// awaitService waits until the instances lead and serve.
func (s *system) awaitService() error {
	deadline := time.Now().Add(20 * time.Second)
	for time.Now().Before(deadline) {
		ready := s.leader() != nil
		for _, n := range s.nodes {
			a := s.call(n, http.MethodGet, prefix, "", time.Second)
			ready = ready && a.status == http.StatusOK
		}
		if ready {
			return nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	return fmt.Errorf("the system does not serve")
}

// waitFor waits until a condition holds, at most for a time, and reports whether it holds.
func waitFor(limit time.Duration, holds func() bool) bool {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		if holds() {
			return true
		}
		time.Sleep(20 * time.Millisecond)
	}
	return holds()
}

// stepBody returns the body of a submission with one step.
func stepBody(step map[string]any) string {
	data, err := json.Marshal(map[string]any{"specification": "review", "steps": []any{step}})
	if err != nil {
		panic(err)
	}
	return string(data)
}

// taskFamily finds the behavior of a task by the submission it belongs to.
type taskFamily struct {
	mu    sync.Mutex
	byJob map[string]behavior
}

func (f *taskFamily) set(submission string, b behavior) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.byJob == nil {
		f.byJob = map[string]behavior{}
	}
	f.byJob[submission] = b
}

func (f *taskFamily) of(task string) behavior {
	f.mu.Lock()
	defer f.mu.Unlock()
	submission, _, _ := strings.Cut(task, ".")
	return f.byJob[submission]
}
