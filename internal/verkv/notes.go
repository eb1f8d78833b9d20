package verkv

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/store"
)

const (
	// severalKeys and singleKeys follow the prefix of all keys. The keys of services with several versions have the
	// form of earlier releases, which know no others.
	severalKeys = "mixed/"
	singleKeys  = "single/"
)

type (
	// Notes is what the store holds of the versions of services; its exported fields are set before use.
	Notes struct {
		Prefix string // of all keys
		Era    int64  // of the store when it was read

		several map[string][]string // versions by service, sorted
		single  map[string]single   // by service
	}

	single struct {
		Version string `json:"version"`
		// Era is that of the store when the note was written. After a restore the note may be older than what was
		// written since, so it is worth nothing until it is written again.
		Era int64 `json:"era"`
	}
)

// Read reads the notes below a prefix. It calls invalid with the key of each that cannot be decoded; the error is that
// of the store.
func Read(ctx context.Context, s store.Store, prefix string, invalid func(key string, err error)) (*Notes, error) {
	n := &Notes{Prefix: prefix}
	// A service that gets a second version between the two calls is found with several.
	for _, keys := range []string{singleKeys, severalKeys} {
		items, as, err := s.List(ctx, prefix+keys)
		if err != nil {
			return nil, err
		}
		for _, it := range items {
			n.Add(it, invalid)
		}
		n.Era = as.Era
	}
	return n, nil
}

// Add adds an item of the store and reports whether it is a note. It calls invalid with the key of a note that cannot
// be decoded, which names no version.
func (n *Notes) Add(it store.Item, invalid func(key string, err error)) bool {
	var err error
	if service, ok := strings.CutPrefix(it.Key, n.Prefix+severalKeys); ok {
		var versions []string
		err = json.Unmarshal(it.Value, &versions)
		n.setSeveral(service, versions)
	} else if service, ok := strings.CutPrefix(it.Key, n.Prefix+singleKeys); ok {
		var only single
		err = json.Unmarshal(it.Value, &only)
		n.setSingle(service, only)
	} else {
		return false
	}
	if err != nil {
		invalid(it.Key, errors.Wrap(err, "decode versions"))
	}
	return true
}

// Several returns the versions of a service if they are several, sorted, or nil.
func (n *Notes) Several(service string) []string {
	if n == nil {
		return nil
	}
	return n.several[service]
}

// Single returns the version of a service if it is the only one, or an empty string if that is not known.
func (n *Notes) Single(service string) string {
	if n == nil || len(n.several[service]) > 0 || n.single[service].Era != n.Era {
		return ""
	}
	return n.single[service].Version
}

// Each calls f with each version that is noted of a service, also in notes that are worth nothing by themselves.
func (n *Notes) Each(f func(service, version string)) {
	for service, versions := range n.several {
		for _, v := range versions {
			f(service, v)
		}
	}
	for service, only := range n.single {
		if only.Version != "" {
			f(service, only.Version)
		}
	}
}

// Changes returns what has to be written and removed so that the store holds the given versions of services, for a
// number of services at most, and the notes after that.
func (n *Notes) Changes(want map[string][]string, most int) (next *Notes, puts []store.Item, remove []string) {
	next = &Notes{Prefix: n.Prefix, Era: n.Era, several: maps.Clone(n.several), single: maps.Clone(n.single)}
	services := slices.Collect(maps.Keys(want))
	for _, noted := range [][]string{slices.Collect(maps.Keys(n.several)), slices.Collect(maps.Keys(n.single))} {
		services = append(services, noted...)
	}
	slices.Sort(services)
	changed := 0
	for _, service := range slices.Compact(services) {
		if changed == most {
			break
		}
		p, r := next.set(service, want[service])
		if len(p)+len(r) > 0 {
			changed++
		}
		puts, remove = append(puts, p...), append(remove, r...)
	}
	return next, puts, remove
}

// set sets the versions of a service, and returns what has to be written and removed for that.
func (n *Notes) set(service string, versions []string) (puts []store.Item, remove []string) {
	_, isSeveral := n.several[service]
	_, isSingle := n.single[service]
	if len(versions) > 1 && !slices.Equal(n.several[service], versions) {
		n.setSeveral(service, versions)
		puts = append(puts, item(n.Prefix+severalKeys+service, versions))
	}
	if only := (single{Era: n.Era}); len(versions) == 1 {
		if only.Version = versions[0]; n.single[service] != only {
			n.setSingle(service, only)
			puts = append(puts, item(n.Prefix+singleKeys+service, only))
		}
	}
	if isSeveral && len(versions) <= 1 {
		delete(n.several, service)
		remove = append(remove, n.Prefix+severalKeys+service)
	}
	if isSingle && len(versions) != 1 {
		delete(n.single, service)
		remove = append(remove, n.Prefix+singleKeys+service)
	}
	return puts, remove
}

// SingleKeys returns the keys of the given services that the store has with a single version, sorted.
func (n *Notes) SingleKeys(services map[string][]string) []string {
	var out []string
	for service := range services {
		if _, ok := n.single[service]; ok {
			out = append(out, n.Prefix+singleKeys+service)
		}
	}
	slices.Sort(out)
	return out
}

func (n *Notes) setSeveral(service string, versions []string) {
	if n.several == nil {
		n.several = make(map[string][]string)
	}
	n.several[service] = versions
}

func (n *Notes) setSingle(service string, only single) {
	if n.single == nil {
		n.single = make(map[string]single)
	}
	n.single[service] = only
}

func item(key string, value any) store.Item {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err) // the values are lists of strings and plain structs
	}
	return store.Item{Key: key, Value: b}
}
