package node

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/request/verdict"
)

// slowStore makes the table service of a testCell slow. Each call takes answerTime, and each shard executes its transactions one
// after another, each in txnTime.
type slowStore struct {
	answerTime, txnTime time.Duration

	mu sync.Mutex
	// idleAt is when each shard will have executed its transactions.
	idleAt map[string]time.Time
	// commits counts the transactions, and refused those that the service has refused for its rate.
	commits, refused int
}

// maxShardBacklog is the work that waits for a shard beyond which the service refuses further transactions.
const maxShardBacklog = time.Second

// setSpeed sets the times that a store takes; 0 means at once.
func (s *slowStore) setSpeed(answerTime, txnTime time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answerTime, s.txnTime = answerTime, txnTime
}

func (s *slowStore) isSlow() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answerTime > 0
}

// counts returns the numbers of transactions, and of those that were refused.
func (s *slowStore) counts() (commits, refused int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.commits, s.refused
}

// awaitAnswer waits for the answer to a read.
func (s *slowStore) awaitAnswer(ctx context.Context) error {
	s.mu.Lock()
	answerTime := s.answerTime
	s.mu.Unlock()
	if answerTime == 0 {
		return nil
	}
	return sleepContext(ctx, answerTime)
}

func sleepContext(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return verdict.Wrap(ctx.Err(), verdict.MayHaveRun, verdict.CodeUnavailable, "wait for the slow store")
	}
}

// enqueue adds a transaction to the backlog of a shard and returns when it is executed. ok is false if it is refused.
func (s *slowStore) enqueue(shard string) (executeAt time.Time, answerTime time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commits++
	if s.idleAt == nil {
		s.idleAt = map[string]time.Time{}
	}
	now := time.Now()
	startAt := s.idleAt[shard]
	if startAt.Before(now) {
		startAt = now
	}
	if startAt.Sub(now) > maxShardBacklog {
		s.refused++
		return time.Time{}, s.answerTime, false
	}
	s.idleAt[shard] = startAt.Add(s.txnTime)
	return s.idleAt[shard], s.answerTime, true
}

// commit executes a transaction in its turn, also if the caller gives up.
func (s *slowStore) commit(ctx context.Context, background *sync.WaitGroup, shard string, execute func() (uint64, error)) (uint64, error) {
	executeAt, answerTime, ok := s.enqueue(shard)
	if !ok {
		if err := sleepContext(ctx, answerTime); err != nil {
			return 0, err
		}
		return 0, verdict.New(verdict.NotRun, verdict.CodeOverloaded, "status 429")
	}
	type result struct {
		version uint64
		err     error
	}
	results := make(chan result, 1)
	background.Go(func() {
		time.Sleep(time.Until(executeAt))
		version, err := execute()
		time.Sleep(answerTime)
		results <- result{version, err}
	})
	select {
	case out := <-results:
		return out.version, out.err
	case <-ctx.Done():
		return 0, verdict.Wrap(ctx.Err(), verdict.MayHaveRun, verdict.CodeUnavailable, "wait for the slow store")
	}
}

// submitSteadily submits a job every interval for a duration, at one instance after the other, and returns the errors.
func (c *testCell) submitSteadily(prefix string, interval, duration time.Duration) (submitted int, failures []error) {
	var mu sync.Mutex
	var group sync.WaitGroup
	names := make([]string, 0, len(c.nodes))
	for i := range len(c.nodes) {
		names = append(names, fmt.Sprintf("i%d", i))
	}
	for end := time.Now().Add(duration); time.Now().Before(end); submitted++ {
		id, n := fmt.Sprintf("%s%d", prefix, submitted), c.nodes[names[submitted%len(names)]]
		group.Go(func() {
			if err := c.submit(n, id, 1, smallTask(100*time.Millisecond), nil); err != nil {
				mu.Lock()
				defer mu.Unlock()
				failures = append(failures, err)
			}
		})
		time.Sleep(interval)
	}
	group.Wait()
	return submitted, failures
}

// Guards against a store that answers late and is treated as one that does not answer: submissions are given up although their
// writes would take effect in time, and probes and relayed calls multiply the load of the store.
func TestSubmissionsWhileStoreIsSlow(t *testing.T) {
	for name, slow := range map[string]struct{ answerTime, txnTime time.Duration }{
		"50 times": {200 * time.Millisecond, 150 * time.Millisecond}, "150 times": {600 * time.Millisecond, 450 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newTestCell(t, 8, 4)
				defer c.stop()
				_, failures := c.submitSteadily("calm", 25*time.Millisecond, 2*time.Second)
				assert.Equal(t, len(failures), 0, "%v", failures)
				before, _ := c.slow.counts()
				c.slow.setSpeed(slow.answerTime, slow.txnTime)
				// The change of speed is noticed by the first late answers.
				_, _ = c.submitSteadily("first", 25*time.Millisecond, 2*time.Second)
				submitted, failures := c.submitSteadily("slow", 25*time.Millisecond, 10*time.Second)
				after, refused := c.slow.counts()
				t.Logf("%d submitted, %d failed, %d transactions, %d refused", submitted, len(failures), after-before, refused)
				assert.Equal(t, len(failures), 0, "%v", failures[:min(len(failures), 3)])
				c.slow.setSpeed(0, 0)
			})
		})
	}
}

// slowTables are the tables of one instance while the store is slow.
type slowTables struct {
	backend.Tables
	c *testCell
}

func (s slowTables) Commit(ctx context.Context, txn backend.Txn) (uint64, error) {
	if !s.c.slow.isSlow() {
		return s.Tables.Commit(ctx, txn)
	}
	return s.c.slow.commit(ctx, &s.c.lateCalls, shardOfTxn(txn), func() (uint64, error) {
		return s.Tables.Commit(context.WithoutCancel(ctx), txn)
	})
}

func (s slowTables) Get(ctx context.Context, key backend.RowKey) (backend.Row, error) {
	if err := s.c.slow.awaitAnswer(ctx); err != nil {
		return backend.Row{}, err
	}
	return s.Tables.Get(ctx, key)
}

func (s slowTables) Range(ctx context.Context, table, shard, from string) (backend.Page, error) {
	if err := s.c.slow.awaitAnswer(ctx); err != nil {
		return backend.Page{}, err
	}
	return s.Tables.Range(ctx, table, shard, from)
}

func (s slowTables) Feed(ctx context.Context, table string, after uint64, wait time.Duration) (backend.Page, error) {
	page, err := s.Tables.Feed(ctx, table, after, wait)
	if err != nil {
		return page, err
	}
	return page, s.c.slow.awaitAnswer(ctx)
}
