// Package store defines the interfaces to the platform that lentiltide runs on: the transactional table service, the
// object store and the list of machines. The implementations are HTTP clients (package connection/store) and test stand-ins.
package store

import (
	"context"

	"github.com/lentiltide/lentiltide/model"
)

// Row is one row of the table service.
type Row struct {
	Key string `json:"key"`
	// Version increases with each write of the row and is never reused, even after a deletion. It is never 0.
	Version uint64 `json:"version"`
	// TxnID is the id of the transaction that wrote the row last.
	TxnID string `json:"txn_id"`
	Value []byte `json:"value"`
}

// Condition requires a row to have a version when a transaction commits. Version 0 requires the row to be absent.
type Condition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Write sets or deletes one row.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Txn is an atomic conditional transaction.
type Txn struct {
	ID         string      `json:"id"`
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
}

// Table is the transactional table service. Errors are *verdict.Error: CodeConflict with NotRun if a condition is not met,
// CodeUnavailable with NotRun if the request certainly did not arrive, and MayHaveRun otherwise.
type Table interface {
	// Commit applies a transaction and returns the versions of the written rows in the order of txn.Writes.
	Commit(ctx context.Context, txn Txn) ([]uint64, error)
	// Get returns the existing rows among keys, in the order of keys.
	Get(ctx context.Context, keys ...string) ([]Row, error)
	// Scan returns all rows whose key starts with prefix, ordered by key.
	Scan(ctx context.Context, prefix string) ([]Row, error)
}

// Objects is the object store.
type Objects interface {
	// Put stores an object under a name that was not used before.
	Put(ctx context.Context, name string, data []byte) error
	// Get returns an object, or an error with CodeNotFound.
	Get(ctx context.Context, name string) ([]byte, error)
	// List returns the names that start with prefix, sorted.
	List(ctx context.Context, prefix string) ([]string, error)
}

// MemberState is the state of a machine in the platform's list.
type MemberState string

// The states of a member.
const (
	MemberLive    MemberState = "live"
	MemberLeaving MemberState = "leaving"
)

// MemberRole says what a machine is used for.
type MemberRole string

// The roles of a member.
const (
	// RoleEntry is an entry instance, which runs lentiltide.
	RoleEntry MemberRole = "entry"
	// RoleWorker is a backend server, which runs tasks.
	RoleWorker MemberRole = "worker"
)

// Member is a machine in the platform's list.
type Member struct {
	ID     string      `json:"id"`
	Role   MemberRole  `json:"role"`
	State  MemberState `json:"state"`
	Region string      `json:"region"`
	Zone   string      `json:"zone"`
	Rack   string      `json:"rack,omitempty"`
	// Address is the peer address, host:port, of an entry instance, or the base URL of a worker's agent.
	Address string `json:"address"`
	// Capacity is the capacity of a worker.
	Capacity model.Resources `json:"capacity,omitzero"`
}

// InstanceList is the platform's list of machines. It lags behind the actual state and is used only as a hint.
type InstanceList interface {
	List(ctx context.Context) ([]Member, error)
}
