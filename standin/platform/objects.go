package platform

import (
	"context"
	"sort"
	"strings"
	"sync"

	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/store"
)

// Objects is an in-memory object store whose objects are written once.
//
// Locking: mu protects data.
type Objects struct {
	mu   sync.Mutex
	data map[string][]byte
}

var _ store.Objects = (*Objects)(nil)

// NewObjects returns an empty object store.
func NewObjects() *Objects { return &Objects{data: map[string][]byte{}} }

// Put implements store.Objects. It fails with CodeConflict if the object exists.
func (o *Objects) Put(_ context.Context, name string, data []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, ok := o.data[name]; ok {
		return verdict.New(verdict.NotRun, verdict.CodeConflict, "object %q exists", name)
	}
	o.data[name] = append([]byte(nil), data...)
	return nil
}

// Get implements store.Objects.
func (o *Objects) Get(_ context.Context, name string) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	data, ok := o.data[name]
	if !ok {
		return nil, verdict.New(verdict.NotRun, verdict.CodeNotFound, "object %q does not exist", name)
	}
	return append([]byte(nil), data...), nil
}

// List implements store.Objects.
func (o *Objects) List(_ context.Context, prefix string) ([]string, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var names []string
	for name := range o.data {
		if strings.HasPrefix(name, prefix) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names, nil
}

// Corrupt replaces the content of an object, to test that readers detect corruption.
func (o *Objects) Corrupt(name string, data []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.data[name] = data
}

// InstanceList is an in-memory instance list that its owner fills with Set and Remove.
//
// Locking: mu protects members.
type InstanceList struct {
	mu      sync.Mutex
	members map[string]store.Member
}

var _ store.InstanceList = (*InstanceList)(nil)

// NewInstanceList returns an empty instance list.
func NewInstanceList() *InstanceList { return &InstanceList{members: map[string]store.Member{}} }

// Set adds a member or replaces the one with the same id.
func (l *InstanceList) Set(m store.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.members[m.ID] = m
}

// Remove removes a member.
func (l *InstanceList) Remove(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.members, id)
}

// List implements store.InstanceList. The result is sorted by id.
func (l *InstanceList) List(context.Context) ([]store.Member, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	members := make([]store.Member, 0, len(l.members))
	for _, m := range l.members {
		members = append(members, m)
	}
	sort.Slice(members, func(i, j int) bool { return members[i].ID < members[j].ID })
	return members, nil
}
