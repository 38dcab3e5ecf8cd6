// Package store is the HTTP client of the platform's table service, object store and instance list. A Client lives as
// long as its pooled connections.
package store

import (
	"context"

	"github.com/lentiltide/lentiltide/connection/jsonhttp"
	"github.com/lentiltide/lentiltide/store"
)

// Paths of the platform's HTTP API.
const (
	PathTableCommit  = "/table/commit"
	PathTableGet     = "/table/get"
	PathTableScan    = "/table/scan"
	PathObjectPut    = "/objects/put"
	PathObjectGet    = "/objects/get"
	PathObjectList   = "/objects/list"
	PathInstanceList = "/instances/list"
)

// CommitReply is the reply to a commit: the versions that store.Table.Commit returns.
type CommitReply struct {
	Versions []uint64 `json:"versions"`
}

// KeysRequest requests the rows with the given keys.
type KeysRequest struct {
	Keys []string `json:"keys"`
}

// PrefixRequest requests the rows, or the names of the objects, whose key or name begins with Prefix.
type PrefixRequest struct {
	Prefix string `json:"prefix"`
}

// RowsReply is the reply to a KeysRequest or a PrefixRequest for rows.
type RowsReply struct {
	Rows []store.Row `json:"rows"`
}

// Object is the request to put an object, and the reply to a get. The request of a get has only the name.
type Object struct {
	Name string `json:"name"`
	Data []byte `json:"data,omitempty"`
}

// NamesReply is the reply to a PrefixRequest for objects.
type NamesReply struct {
	Names []string `json:"names"`
}

// MembersReply is the reply to a request for the instance list.
type MembersReply struct {
	Members []store.Member `json:"members"`
}

// Client implements store.Table. Objects and Members return implementations of store.Objects and store.InstanceList
// that use the same connections.
type Client struct{ http *jsonhttp.Client }

var _ store.Table = (*Client)(nil)

// NewClient returns a client for the platform's base URL.
func NewClient(base string) *Client { return &Client{http: jsonhttp.NewClient(base, nil)} }

// Commit implements store.Table.
func (c *Client) Commit(ctx context.Context, txn store.Txn) ([]uint64, error) {
	var reply CommitReply
	err := c.http.Post(ctx, PathTableCommit, txn, &reply)
	return reply.Versions, err
}

// Get implements store.Table.
func (c *Client) Get(ctx context.Context, keys ...string) ([]store.Row, error) {
	var reply RowsReply
	err := c.http.Post(ctx, PathTableGet, KeysRequest{Keys: keys}, &reply)
	return reply.Rows, err
}

// Scan implements store.Table.
func (c *Client) Scan(ctx context.Context, prefix string) ([]store.Row, error) {
	var reply RowsReply
	err := c.http.Post(ctx, PathTableScan, PrefixRequest{Prefix: prefix}, &reply)
	return reply.Rows, err
}

// Objects returns a client of the platform's object store.
func (c *Client) Objects() store.Objects { return objects{c.http} }

// Members returns a client of the platform's instance list.
func (c *Client) Members() store.InstanceList { return members{c.http} }

// objects implements store.Objects.
type objects struct{ http *jsonhttp.Client }

func (o objects) Put(ctx context.Context, name string, data []byte) error {
	return o.http.Post(ctx, PathObjectPut, Object{Name: name, Data: data}, nil)
}

func (o objects) Get(ctx context.Context, name string) ([]byte, error) {
	var reply Object
	err := o.http.Post(ctx, PathObjectGet, Object{Name: name}, &reply)
	return reply.Data, err
}

func (o objects) List(ctx context.Context, prefix string) ([]string, error) {
	var reply NamesReply
	err := o.http.Post(ctx, PathObjectList, PrefixRequest{Prefix: prefix}, &reply)
	return reply.Names, err
}

// members implements store.InstanceList.
type members struct{ http *jsonhttp.Client }

func (m members) List(ctx context.Context) ([]store.Member, error) {
	var reply MembersReply
	err := m.http.Post(ctx, PathInstanceList, struct{}{}, &reply)
	return reply.Members, err
}
