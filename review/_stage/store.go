package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// rowKey identifies a row of the store.
type rowKey struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

// row is a row of the store. Value is base64 on the wire.
type row struct {
	rowKey
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"rowVersion"`
	Deleted bool   `json:"deleted,omitempty"`
}

// storeFault is what a port of the store does with a call.
type storeFault int

const (
	// storeServes answers normally.
	storeServes storeFault = iota
	// storeSilent does nothing and sends no answer.
	storeSilent
)

const (
	// storeAnswerTime is how long the store takes for an answer.
	storeAnswerTime = 4 * time.Millisecond
	// maxStoreEntries is the largest number of entries of a transaction.
	maxStoreEntries = 100
	// maxStorePageRows and maxStorePageBytes limit the rows of one answer.
	maxStorePageRows  = 500
	maxStorePageBytes = 1 << 20
)

// store is a stand-in for the platform's metadata store. It keeps its whole history.
type store struct {
	mu      sync.Mutex
	rows    map[rowKey]row
	history []row
	version uint64
	changed chan struct{}
	began   time.Time
	// watch is called, without holding mu, for each row that a transaction of the system has written.
	watch func(row)
	// faults holds the fault of each port, by its name.
	faults map[string]storeFault
}

func newStore() *store {
	return &store{rows: map[rowKey]row{}, changed: make(chan struct{}), began: time.Now(), faults: map[string]storeFault{}}
}

// setFault sets the fault of the port with a name.
func (s *store) setFault(port string, f storeFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[port] = f
}

// put writes a row on behalf of the operator or of an executor.
func (s *store) put(key rowKey, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{rowKey: key, Value: data}}, nil)
}

// remove removes a row on behalf of an executor.
func (s *store) remove(key rowKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(nil, []rowKey{key})
}

// apply writes rows under the next version. Callers hold mu.
func (s *store) apply(put []row, remove []rowKey) {
	s.version++
	for _, r := range put {
		r.Version = s.version
		s.rows[r.rowKey] = r
		s.history = append(s.history, r)
	}
	for _, k := range remove {
		if _, ok := s.rows[k]; ok {
			delete(s.rows, k)
			s.history = append(s.history, row{rowKey: k, Version: s.version, Deleted: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// handler serves the store on the port with a name.
func (s *store) handler(port string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/rows-tx", s.serveTx)
	mux.HandleFunc("GET /v1/rows-get", s.serveGet)
	mux.HandleFunc("GET /v1/rows-feed", s.serveFeed)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isSilent(port) {
			// The request is not read further and nothing is done. The connection stays silent until the caller gives it up.
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		time.Sleep(storeAnswerTime)
		mux.ServeHTTP(&silencedWriter{w, s, port}, r)
	})
}

func (s *store) isSilent(port string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults[port] == storeSilent
}

// silencedWriter withholds an answer if the port has become silent meanwhile, as for a long poll.
type silencedWriter struct {
	http.ResponseWriter
	store *store
	port  string
}

func (w *silencedWriter) WriteHeader(status int) {
	if w.store.isSilent(w.port) {
		panic(http.ErrAbortHandler)
	}
	w.ResponseWriter.WriteHeader(status)
}

// serveTx applies a transaction, or none of it.
func (s *store) serveTx(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Expected []row    `json:"expected"`
		Put      []row    `json:"put"`
		Remove   []rowKey `json:"remove"`
		Across   bool     `json:"across"`
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil || len(tx.Expected)+len(tx.Put)+len(tx.Remove) > maxStoreEntries {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !isOfOnePart(tx.Expected, tx.Put, tx.Remove) && !tx.Across {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, p := range tx.Put {
		if p.Table == "op" || p.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.mu.Lock()
	conflict := false
	current := []row{}
	for _, e := range tx.Expected {
		now, ok := s.rows[e.rowKey]
		conflict = conflict || now.Version != e.Version
		if ok {
			current = append(current, now)
		}
	}
	if !conflict {
		s.apply(tx.Put, tx.Remove)
	}
	version := s.version
	s.mu.Unlock()
	if conflict {
		s.answer(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "rowVersion": version})
		return
	}
	if s.watch != nil {
		for _, p := range tx.Put {
			s.watch(p)
		}
	}
	s.answer(w, http.StatusOK, map[string]any{"rowVersion": version})
}

// isOfOnePart reports whether all entries of a transaction share a part.
func isOfOnePart(expected, put []row, remove []rowKey) bool {
	parts := map[string]struct{}{}
	for _, e := range expected {
		parts[e.Part] = struct{}{}
	}
	for _, p := range put {
		parts[p.Part] = struct{}{}
	}
	for _, k := range remove {
		parts[k.Part] = struct{}{}
	}
	return len(parts) <= 1
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := maxStorePageRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	s.mu.Lock()
	found := []row{}
	for k, v := range s.rows {
		if k.Table == q.Get("table") && k.Part == q.Get("part") && k.Key >= q.Get("from") && (q.Get("to") == "" || k.Key < q.Get("to")) {
			found = append(found, v)
		}
	}
	version := s.version
	s.mu.Unlock()
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	n, bytes := 0, 0
	for n < len(found) && n < limit && (n == 0 || bytes+len(found[n].Value) <= maxStorePageBytes/2) {
		bytes += len(found[n].Value)
		n++
	}
	s.answer(w, http.StatusOK, map[string]any{"rows": found[:n], "hasMore": n < len(found), "rowVersion": version})
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	waitMS, _ := strconv.Atoi(q.Get("waitMs"))
	timeout := time.After(time.Duration(min(waitMS, 30_000)) * time.Millisecond)
	for {
		s.mu.Lock()
		changes := []row{}
		for i := len(s.history) - 1; i >= 0 && s.history[i].Version > after; i-- {
			if s.history[i].Table == q.Get("table") {
				changes = append([]row{s.history[i]}, changes...)
			}
		}
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if len(changes) > 0 {
			s.answer(w, http.StatusOK, map[string]any{"rows": changes, "rowVersion": version})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			s.answer(w, http.StatusOK, map[string]any{"rows": changes, "rowVersion": version})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// answer writes a JSON answer with the store's steady clock.
func (s *store) answer(w http.ResponseWriter, status int, body map[string]any) {
	body["nowMs"] = time.Since(s.began).Milliseconds()
	writeJSON(w, status, body)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The error of a caller that has gone is of no interest.
	_ = json.NewEncoder(w).Encode(body)
}
