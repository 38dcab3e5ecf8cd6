// Command stage3 plays the cases of the third review. It starts the nodes of a small deployment as separate processes, with stand-ins
// of the platform, the executors and the clients on loopback addresses, and writes what was sent, answered and run to a file.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/standin/backends"
	"github.com/lentiltide/lentiltide/standin/wire"
)

const (
	host, prefix, service = "desk.example", "/jobs/", "rental-desk"
	// memoryMB is the limit of a small deployment. The platform kills a process that exceeds it.
	memoryMB = 284
	// memoryCheckInterval is the time between two looks at the memory of the processes.
	memoryCheckInterval = 2 * time.Millisecond
	// restartDelay is the time after which the platform starts a process again that has ended.
	restartDelay = 500 * time.Millisecond
	// remainingTime is how long clients wait for an answer.
	remainingTime = 3 * time.Second
	// nodeBinary is where the build of the deploy file puts the program.
	nodeBinary = "target/lentiltide-node"
)

// record writes lines with the time since the start to a file.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, begin: time.Now()}, err
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  ", time.Since(r.begin).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(r.file, line)
}

// stage is a set of node processes and stand-ins.
type stage struct {
	record  *record
	dir     string
	tables  *backends.Tables
	workers *backends.Workers
	nodes   []*node
	client  *http.Client
	ports   *ports

	// closing is set when the processes are ended.
	mu      sync.Mutex
	closing bool
}

// ports hands out ports of a loopback address that no other run uses at the same time.
type ports struct {
	host string
	next int
}

func newPorts() *ports {
	pid := os.Getpid()
	return &ports{host: fmt.Sprintf("127.%d.%d.%d", 64+pid/62500%32, 1+pid/250%250, 1+pid%250)}
}

// address returns an address whose port is free now.
func (p *ports) address() (string, error) {
	for range 4000 {
		p.next++
		address := net.JoinHostPort(p.host, strconv.Itoa(21000+p.next))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		return address, nil
	}
	return "", errors.New("no free port")
}

// node is a process of the system that the platform starts again when it ends.
type node struct {
	name, front, settings string

	mu     sync.Mutex
	cmd    *exec.Cmd
	starts int
	// memoryKills is how often the process was killed because of its memory.
	memoryKills int
	exited      chan struct{}
	// down means that the process is not started again.
	down bool
}

func newStage(r *record) (*stage, error) {
	dir, err := os.MkdirTemp("", "lentiltide-review3")
	if err != nil {
		return nil, err
	}
	s := &stage{record: r, dir: dir, tables: backends.NewTables(), client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}},
		ports: newPorts()}
	return s, nil
}

// serve serves a handler on a loopback port and returns its address.
func (s *stage) serve(h http.Handler) (string, error) {
	_, address, err := wire.Serve(h)
	return address, err
}

// addWorkers starts executors. cores is the size of each.
func (s *stage) addWorkers(count int, cores int64, behavior func(task string) backends.TaskBehavior) error {
	begin := time.Now()
	s.workers = backends.NewWorkers(func() time.Duration { return time.Since(begin) }, behavior)
	for i := range count {
		id := fmt.Sprintf("w%02d", i)
		info := backend.WorkerInfo{
			ID: id, Service: service, Zone: "a", Labels: []string{"k", fmt.Sprintf("r%d", 1+i%2)}, StartedMS: time.Now().UnixMilli(),
			Capacity: model.Resources{CPUMilli: 1000 * cores, MemoryMiB: 64000},
		}
		address, err := s.serve(s.logged("executor "+id, wire.Worker(s.workers, id)))
		if err != nil {
			return err
		}
		info.Address = address
		s.workers.Add(info)
		key, value := wire.RegistryRow(info)
		s.tables.Put(key, value)
	}
	return nil
}

// logged records the starts and stops that a stand-in receives.
func (s *stage) logged(name string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/run-start" || r.URL.Path == "/v1/run-stop" {
			body, _ := io.ReadAll(r.Body)
			r.Body = io.NopCloser(bytes.NewReader(body))
			s.record.printf("%s: %s %s", name, r.URL.Path, body)
		}
		next.ServeHTTP(w, r)
	})
}

// addNodes starts node processes. extra are further settings.
func (s *stage) addNodes(count int, extra map[string]any) error {
	store, err := s.serve(wire.Tables(s.tables))
	if err != nil {
		return err
	}
	advice, err := s.serve(wire.Advisor(&backends.Advisor{Delay: 10 * time.Millisecond, Validity: 2500 * time.Millisecond}))
	if err != nil {
		return err
	}
	for i := range count {
		n := &node{name: fmt.Sprintf("front-a-%d", i+1)}
		var addresses [4]string
		for k := range addresses {
			if addresses[k], err = s.ports.address(); err != nil {
				return err
			}
		}
		n.front = addresses[0]
		settings := map[string]any{
			"instance": n.name, "region": "r", "zone": "a", "caller_address": addresses[0], "ready_address": addresses[1],
			"peer_address": addresses[2], "metrics_address": addresses[3], "store_address": store, "advice_address": advice,
			"store_row_bytes": 65536, "cpu_share": 0.4, "link_mbps": 1000.0, "memory_mb": memoryMB, "max_lease_ms": 10000,
			"config_deadline_ms": 2000, "stop_timeout_ms": 400, "retention_s": 120, "grace_s": 6,
		}
		for k, v := range extra {
			settings[k] = v
		}
		data, err := json.Marshal(settings)
		if err != nil {
			return err
		}
		n.settings = filepath.Join(s.dir, n.name+".json")
		if err := os.WriteFile(n.settings, data, 0o600); err != nil {
			return err
		}
		s.nodes = append(s.nodes, n)
		if err := s.start(n); err != nil {
			return err
		}
	}
	return nil
}

// start starts the process of a node.
func (s *stage) start(n *node) error {
	log, err := os.OpenFile(filepath.Join(s.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(nodeBinary)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LENTILTIDE_CONFIG=" + n.settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := cmd.Start(); err != nil {
		return err
	}
	n.cmd, n.exited = cmd, make(chan struct{})
	n.starts++
	s.record.printf("platform: %s is started (start %d)", n.name, n.starts)
	go s.watch(n, cmd, n.exited)
	return nil
}

// watch kills a process that exceeds its memory, as the platform does, and starts it again after its end.
func (s *stage) watch(n *node, cmd *exec.Cmd, exited chan struct{}) {
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(memoryCheckInterval):
			}
			if rss := rssMB(cmd.Process.Pid); rss > memoryMB {
				n.mu.Lock()
				n.memoryKills++
				n.mu.Unlock()
				s.record.printf("platform: %s uses %d MB of %d and is killed", n.name, rss, memoryMB)
				_ = cmd.Process.Kill()
				return
			}
		}
	}()
	err := cmd.Wait()
	close(done)
	s.mu.Lock()
	closing := s.closing
	s.mu.Unlock()
	n.mu.Lock()
	down := n.down
	n.mu.Unlock()
	if !closing {
		s.record.printf("platform: %s has ended: %v", n.name, err)
	}
	close(exited)
	if closing || down {
		return
	}
	time.Sleep(restartDelay)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closing {
		if err := s.start(n); err != nil {
			s.record.printf("platform: %s cannot be started: %v", n.name, err)
		}
	}
}

// rssMB returns the resident memory of a process, 0 if it is gone.
func rssMB(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize()) >> 20
}

// signal sends a signal to the process of a node.
func (s *stage) signal(n *node, sig syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s.record.printf("operator: %s gets %v", n.name, sig)
	_ = n.cmd.Process.Signal(sig)
}

// close ends all processes.
func (s *stage) close() {
	s.mu.Lock()
	s.closing = true
	s.mu.Unlock()
	for _, n := range s.nodes {
		n.mu.Lock()
		cmd, exited := n.cmd, n.exited
		n.mu.Unlock()
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		<-exited
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	}
}

// call sends a request of a client to a node and returns the status and the body, or status 0 and an error.
func (s *stage) call(n *node, method, id, body string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), remainingTime)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.front+prefix+id, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = host
	req.Header.Set("Remaining-Time", strconv.FormatInt(remainingTime.Milliseconds(), 10))
	req.Header.Set("Content-Type", "application/json")
	shown := body
	if len(shown) > 300 {
		shown = shown[:300] + "..."
	}
	s.record.printf("client: %s %s to %s %s", method, id, n.name, shown)
	resp, err := s.client.Do(req)
	if err != nil {
		s.record.printf("client: no answer to %s %s from %s: %v", method, id, n.name, err)
		return 0, err.Error()
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		s.record.printf("client: broken answer to %s %s from %s: %v", method, id, n.name, err)
		return 0, err.Error()
	}
	s.record.printf("client: %d to %s %s from %s: %s", resp.StatusCode, method, id, n.name, bytes.TrimSpace(data))
	return resp.StatusCode, string(data)
}

// submit hands a job in, at other nodes after no answer or a refusal, and returns whether it was accepted.
func (s *stage) submit(id, body string, attempts int) bool {
	for i := range attempts {
		status, _ := s.call(s.nodes[(int(id[len(id)-1])+i)%len(s.nodes)], http.MethodPost, id, body)
		if status >= 200 && status < 300 {
			return true
		}
		if status == http.StatusBadRequest || status == http.StatusNotFound {
			return false
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state asks the nodes for the state of a job until one answers 200 or 410; empty means that none did.
func (s *stage) state(id string) string {
	for i := range s.nodes {
		status, answer := s.call(s.nodes[i], http.MethodGet, id, "")
		if status == http.StatusOK {
			var body struct{ State string }
			_ = json.Unmarshal([]byte(answer), &body)
			return body.State
		}
		if status == http.StatusGone {
			return "gone"
		}
	}
	return ""
}

// awaitServing waits until each node knows the configuration.
func (s *stage) awaitServing(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, n := range s.nodes {
		for {
			if status, _ := s.call(n, http.MethodGet, "", ""); status == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s does not serve", n.name)
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	return nil
}
