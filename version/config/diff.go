package config

import (
	"encoding/json"
	"fmt"
	"sort"
)

// Change is one difference between two documents.
type Change struct {
	Path string `json:"path"`
	// From and To are the JSON values; an empty one is absent.
	From string `json:"from,omitempty"`
	To   string `json:"to,omitempty"`
}

// Diff returns the differences of the effective values of two documents, ordered by path. Teams are compared by name, so
// that a changed order is no difference.
func Diff(from, to Document) ([]Change, error) {
	a, err := flatten(from)
	if err != nil {
		return nil, err
	}
	b, err := flatten(to)
	if err != nil {
		return nil, err
	}
	var changes []Change
	for path, value := range a {
		if b[path] != value {
			changes = append(changes, Change{Path: path, From: value, To: b[path]})
		}
	}
	for path, value := range b {
		if _, ok := a[path]; !ok {
			changes = append(changes, Change{Path: path, To: value})
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Path < changes[j].Path })
	return changes, nil
}

// flatten returns the leaves of a document by path.
func flatten(d Document) (map[string]string, error) {
	out := map[string]string{}
	teams := map[string]Team{}
	for _, t := range d.Teams {
		teams[t.Account+"/"+t.Team] = t
	}
	data, err := json.Marshal(map[string]any{"classes": d.Classes, "limits": d.Limits, "policy": d.Policy, "teams": teams})
	if err != nil {
		return nil, err
	}
	var raw any
	if err := json.Unmarshal(data, &raw); err != nil {
		return nil, err
	}
	leaves("", raw, out)
	return out, nil
}

func leaves(path string, value any, out map[string]string) {
	object, ok := value.(map[string]any)
	if !ok {
		data, err := json.Marshal(value)
		if err != nil {
			data = []byte(fmt.Sprint(value))
		}
		out[path] = string(data)
		return
	}
	for key, child := range object {
		next := key
		if path != "" {
			next = path + "." + key
		}
		leaves(next, child, out)
	}
}
