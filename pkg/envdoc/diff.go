package envdoc

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
)

const (
	// Added means that only the second document has the list item.
	Added ChangeKind = "added"
	// Removed means that only the first document has the list item.
	Removed ChangeKind = "removed"
	// Changed means that a field has different values.
	Changed ChangeKind = "changed"
)

type (
	// ChangeKind is the kind of a difference between two documents.
	ChangeKind string

	// Change is one difference between two documents. Field is a path with list items by name, such as
	// models[m1].version; From and To are JSON values.
	Change struct {
		Kind  ChangeKind `json:"kind"`
		Field string     `json:"field"`
		From  string     `json:"from,omitempty"`
		To    string     `json:"to,omitempty"`
	}
)

// Diff returns the differences from a to b; list items are matched by name, and their order is ignored.
func Diff(a, b *Doc) []Change {
	return diffValue(nil, "", reflect.ValueOf(*a), reflect.ValueOf(*b))
}

// String returns the change as one line that starts with +, - or ~.
func (c Change) String() string {
	switch c.Kind {
	case Added:
		return fmt.Sprintf("+ %s: %s", c.Field, c.To)
	case Removed:
		return fmt.Sprintf("- %s: %s", c.Field, c.From)
	default:
		return fmt.Sprintf("~ %s: %s -> %s", c.Field, c.From, c.To)
	}
}

// Promote returns the document from as it applies to the environment of the document to: environment, callers, engines
// and upstreams are those of to, and everything else is that of from.
func Promote(from, to *Doc) *Doc {
	out := *from
	out.Environment = to.Environment
	out.Callers = slices.Clone(to.Callers)
	out.Classes = slices.Clone(from.Classes)
	out.Models = slices.Clone(from.Models)
	out.Adapters = slices.Clone(from.Adapters)
	out.Pools = slices.Clone(from.Pools)
	for i := range out.Pools {
		out.Pools[i].Engines = nil
		for _, p := range to.Pools {
			if p.Name == out.Pools[i].Name {
				out.Pools[i].Engines = slices.Clone(p.Engines)
			}
		}
	}
	out.Services = slices.Clone(from.Services)
	for i := range out.Services {
		out.Services[i].Upstreams = nil
		for _, s := range to.Services {
			if s.Name == out.Services[i].Name {
				out.Services[i].Upstreams = slices.Clone(s.Upstreams)
			}
		}
	}
	return &out
}

func diffValue(changes []Change, path string, a, b reflect.Value) []Change {
	switch a.Kind() {
	case reflect.Struct:
		for i := range a.NumField() {
			child := a.Type().Field(i).Tag.Get("yaml")
			if path != "" {
				child = path + "." + child
			}
			changes = diffValue(changes, child, a.Field(i), b.Field(i))
		}
	case reflect.Slice:
		changes = diffList(changes, path, a, b)
	default:
		if !a.Equal(b) {
			changes = append(changes, Change{Kind: Changed, Field: path, From: jsonText(a), To: jsonText(b)})
		}
	}
	return changes
}

func diffList(changes []Change, path string, a, b reflect.Value) []Change {
	itemsA, itemsB := byName(a), byName(b)
	for i := range a.Len() {
		name := a.Index(i).FieldByName("Name").String()
		child := path + "[" + name + "]"
		if item, ok := itemsB[name]; ok {
			changes = diffValue(changes, child, a.Index(i), item)
		} else {
			changes = append(changes, Change{Kind: Removed, Field: child, From: jsonText(a.Index(i))})
		}
	}
	for i := range b.Len() {
		name := b.Index(i).FieldByName("Name").String()
		if _, ok := itemsA[name]; !ok {
			changes = append(changes, Change{Kind: Added, Field: path + "[" + name + "]", To: jsonText(b.Index(i))})
		}
	}
	return changes
}

func byName(list reflect.Value) map[string]reflect.Value {
	items := make(map[string]reflect.Value, list.Len())
	for i := range list.Len() {
		items[list.Index(i).FieldByName("Name").String()] = list.Index(i)
	}
	return items
}

func jsonText(v reflect.Value) string {
	b, err := json.Marshal(v.Interface())
	if err != nil {
		return err.Error()
	}
	return string(b)
}
