package creds

import (
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/figreel/figreel/internal/topo"
)

const (
	// ReasonNoKey refuses a call without a key.
	ReasonNoKey = "no_key"
	// ReasonBadKey refuses a call with something else than one well-formed key.
	ReasonBadKey = "bad_key"
	// ReasonUnknownKey refuses a call with a key that no workspace has.
	ReasonUnknownKey = "unknown_key"
	// ReasonStale refuses a call because a configuration that has removed its key may not have reached this host yet.
	ReasonStale = "configuration_stale"
)

const (
	// Scheme is the authentication scheme of keys (RFC 6750).
	Scheme = "Bearer"
	// maxKeyBytes is the size limit of a key.
	maxKeyBytes = 4 << 10
	// maxAgeShare is the share of RevokeTime that the age of the configuration may have. The rest is a margin for
	// clocks that do not run at the same rate.
	maxAgeShare = 0.8
)

type (
	// Keys finds the workspaces of keys; its exported fields are set before use. It keeps no keys, only their digests.
	Keys struct {
		// Config returns the active configuration, or nil before there is one.
		Config func() *topo.Config
		// RevokeTime is the time from the removal of a key until no call that is sent with it may be executed; 0 allows
		// a configuration of any age.
		RevokeTime time.Duration
		// ConfirmedAt returns the time as of which the active configuration is known to be the newest, or 0 if it is
		// not known. Now returns the current time. Both are boot times. They are not called if RevokeTime is 0.
		ConfirmedAt, Now func() time.Duration
		// Shared is called once for each version of the configuration that has keys in several workspaces, with their
		// number and the workspaces of one of them; nil is not called.
		Shared func(version int64, keys int, owner, other string)

		mu      sync.Mutex // held while an index is built
		current atomic.Pointer[index]
	}

	// index holds the workspaces of one configuration by the digests of their keys.
	index struct {
		config *topo.Config
		owners map[topo.KeyDigest]*topo.Workspace
	}
)

// Check returns the workspace of a call with these values of the header for credentials, or nil if it has none. It
// reports whether the active configuration has workspaces at all, and why the call must be refused, if it must.
func (k *Keys) Check(public bool, credentials []string) (w *topo.Workspace, keyed bool, refusal string) {
	// The age is determined before the configuration is read, which is then at least as new as that.
	isCurrent := k.isCurrent()
	config := k.Config()
	if config == nil {
		return nil, false, ""
	}
	x := k.indexOf(config)
	if x.config.Workspaces == nil {
		return nil, false, ""
	}
	key, malformed := parse(credentials)
	if malformed == "" {
		w = x.owners[topo.DigestKey(key)]
	}
	switch {
	case public:
		return w, true, ""
	case malformed != "":
		return nil, true, malformed
	case !isCurrent:
		return nil, true, ReasonStale
	case w == nil:
		return nil, true, ReasonUnknownKey
	}
	return w, true, ""
}

// isCurrent reports whether the configuration that is active from now on is at most as old as RevokeTime allows.
func (k *Keys) isCurrent() bool {
	if k.RevokeTime <= 0 {
		return true
	}
	// A suspension between the two readings would make the age too large if the clock were read last.
	now := k.Now()
	confirmedAt := k.ConfirmedAt()
	return confirmedAt > 0 && now-confirmedAt <= time.Duration(maxAgeShare*float64(k.RevokeTime))
}

// indexOf returns the index of a configuration, or that of a newer one.
func (k *Keys) indexOf(config *topo.Config) *index {
	if x := k.current.Load(); x != nil && x.config == config {
		return x
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if x := k.current.Load(); x != nil && (x.config == config || x.config.Version > config.Version) {
		return x
	}
	x := k.newIndex(config)
	k.current.Store(x)
	return x
}

// newIndex returns the index of a configuration. A key of several workspaces belongs to the first one.
func (k *Keys) newIndex(config *topo.Config) *index {
	x := &index{config: config, owners: make(map[topo.KeyDigest]*topo.Workspace)}
	shared, owner, other := 0, "", ""
	for i := range config.Workspaces {
		w := &config.Workspaces[i]
		for _, digest := range w.Keys {
			first := x.owners[digest]
			if first == nil {
				x.owners[digest] = w
				continue
			}
			if first != w {
				shared++
				owner, other = first.Name, w.Name
			}
		}
	}
	if shared > 0 && k.Shared != nil {
		k.Shared(config.Version, shared, owner, other)
	}
	return x
}

// parse returns the key in the values of the header for credentials, or why there is none.
func parse(credentials []string) (key, refusal string) {
	if len(credentials) == 0 {
		return "", ReasonNoKey
	}
	scheme, key, _ := strings.Cut(credentials[0], " ")
	key = strings.TrimLeft(key, " ")
	notVisible := func(r rune) bool { return r <= ' ' || r > '~' }
	switch {
	case len(credentials) > 1, !strings.EqualFold(scheme, Scheme), key == "", len(key) > maxKeyBytes,
		strings.ContainsFunc(key, notVisible):
		return "", ReasonBadKey
	}
	return key, ""
}
