// Package store is the HTTP client of the platform's table service, object store and instance list. A Client lives as
// long as its pooled connections.
package store

import (
	"context"

	"github.com/lentiltide/lentiltide/connection/jsonhttp"
	"github.com/lentiltide/lentiltide/store"
)

// Paths of the platform's HTTP interface.
const (
	PathCommit  = "/table/commit"
	PathGet     = "/table/get"
	PathScan    = "/table/scan"
	PathPut     = "/objects/put"
	PathObject  = "/objects/get"
	PathObjects = "/objects/list"
	PathMembers = "/instances/list"
)

// CommitReply answers a commit.
type CommitReply struct {
	Versions []uint64 `json:"versions"`
}

// KeysRequest asks for rows by key.
type KeysRequest struct {
	Keys []string `json:"keys"`
}

// PrefixRequest asks for rows or objects by prefix.
type PrefixRequest struct {
	Prefix string `json:"prefix"`
}

// RowsReply holds rows.
type RowsReply struct {
	Rows []store.Row `json:"rows"`
}

// Object is a named object.
type Object struct {
	Name string `json:"name"`
	Data []byte `json:"data,omitempty"`
}

// NamesReply holds object names.
type NamesReply struct {
	Names []string `json:"names"`
}

// MembersReply holds the list of machines.
type MembersReply struct {
	Members []store.Member `json:"members"`
}

// Client implements store.Table, store.Objects (by Objects) and store.InstanceList (by Members).
type Client struct{ http *jsonhttp.Client }

var _ store.Table = (*Client)(nil)

// NewClient returns a client for the platform's base URL.
func NewClient(base string) *Client { return &Client{http: jsonhttp.NewClient(base, nil)} }

// Commit implements store.Table.
func (c *Client) Commit(ctx context.Context, txn store.Txn) ([]uint64, error) {
	var reply CommitReply
	err := c.http.Post(ctx, PathCommit, txn, &reply)
	return reply.Versions, err
}

// Get implements store.Table.
func (c *Client) Get(ctx context.Context, keys ...string) ([]store.Row, error) {
	var reply RowsReply
	err := c.http.Post(ctx, PathGet, KeysRequest{Keys: keys}, &reply)
	return reply.Rows, err
}

// Scan implements store.Table.
func (c *Client) Scan(ctx context.Context, prefix string) ([]store.Row, error) {
	var reply RowsReply
	err := c.http.Post(ctx, PathScan, PrefixRequest{Prefix: prefix}, &reply)
	return reply.Rows, err
}

// Objects returns the object store of the platform.
func (c *Client) Objects() store.Objects { return objects{c.http} }

// Members returns the instance list of the platform.
func (c *Client) Members() store.InstanceList { return members{c.http} }

type objects struct{ http *jsonhttp.Client }

func (o objects) Put(ctx context.Context, name string, data []byte) error {
	return o.http.Post(ctx, PathPut, Object{Name: name, Data: data}, nil)
}

func (o objects) Get(ctx context.Context, name string) ([]byte, error) {
	var reply Object
	err := o.http.Post(ctx, PathObject, Object{Name: name}, &reply)
	return reply.Data, err
}

func (o objects) List(ctx context.Context, prefix string) ([]string, error) {
	var reply NamesReply
	err := o.http.Post(ctx, PathObjects, PrefixRequest{Prefix: prefix}, &reply)
	return reply.Names, err
}

type members struct{ http *jsonhttp.Client }

func (m members) List(ctx context.Context) ([]store.Member, error) {
	var reply MembersReply
	err := m.http.Post(ctx, PathMembers, struct{}{}, &reply)
	return reply.Members, err
}
