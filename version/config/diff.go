package config

import (
	"encoding/json"
	"fmt"
	"sort"
)

// Change is one difference between two documents.
type Change struct {
	Path string `json:"path"`
	// From and To are JSON values; "" means that the path is absent.
	From string `json:"from,omitempty"`
	To   string `json:"to,omitempty"`
}

// Diff returns the differences between the effective values of two documents, ordered by path. Teams are compared by
// account and name, so that reordering them is not a difference.
func Diff(from, to Document) ([]Change, error) {
	fromValues, err := flatten(from)
	if err != nil {
		return nil, err
	}
	toValues, err := flatten(to)
	if err != nil {
		return nil, err
	}
	var changes []Change
	for path, value := range fromValues {
		if toValues[path] != value {
			changes = append(changes, Change{Path: path, From: value, To: toValues[path]})
		}
	}
	for path, value := range toValues {
		if _, ok := fromValues[path]; !ok {
			changes = append(changes, Change{Path: path, To: value})
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Path < changes[j].Path })
	return changes, nil
}

// flatten returns the leaf values of a document as JSON, keyed by path.
func flatten(d Document) (map[string]string, error) {
	values := map[string]string{}
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
	flattenValue("", raw, values)
	return values, nil
}

// flattenValue adds the leaf values of value to values, with paths that start with path.
func flattenValue(path string, value any, values map[string]string) {
	object, ok := value.(map[string]any)
	if !ok {
		data, err := json.Marshal(value)
		if err != nil {
			data = []byte(fmt.Sprint(value))
		}
		values[path] = string(data)
		return
	}
	for key, child := range object {
		childPath := key
		if path != "" {
			childPath = path + "." + key
		}
		flattenValue(childPath, child, values)
	}
}
