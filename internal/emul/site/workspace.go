package site

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/host"
	"github.com/figreel/figreel/internal/topo"
)

// Headers between callers, hosts and upstreams where calls need keys.
const (
	headerKey       = "Authorization"
	headerWorkspace = "Tenant"
	headerTokens    = "Call-Tokens"
)

// Sizes of calls in tokens, and quotas, as stated for large deployments (docs/design/hard-load.md, part B).
const (
	shortPrompt, shortOutput = 1_000, 116
	longPrompt, longOutput   = 8_800, 440
	plainTokens              = 200
	// longShare is the share of the calls to engines that are long.
	longShare = 0.05
	// quotaFactor is the quota of a workspace in multiples of its usual use.
	quotaFactor = 1.8
	// revokeTime is the time from the removal of a key until hosts refuse it.
	revokeTime = 5 * time.Second
)

// quotaBounds is by how much the units that run in any window may exceed a quota.
var quotaBounds = host.QuotaBounds{Window: 8 * time.Second, Overage: 0.1, Slack: 110_000}

// Workspace is a tenant of the deployment. Its callers send Load times its usual load, which is the same for all
// workspaces.
type Workspace struct {
	Name, Key string
	Priority  int
	Load      float64
	Quota     topo.Quota
}

// NewWorkspaces returns n workspaces that share the given calls a second. The first hot ones send factor times their
// usual load. The priorities are given to one after the other.
func NewWorkspaces(n, hot int, factor, modelRate, plainRate float64, priorities []int) []Workspace {
	usual := (modelRate*meanTokens() + plainRate*plainTokens) / float64(n)
	quota := topo.Quota{
		Rate: quotaFactor * usual, Burst: quotaFactor * usual, InTokens: true, PlainTokens: plainTokens,
	}
	out := make([]Workspace, 0, n)
	for i := range n {
		w := Workspace{Name: fmt.Sprint("ws-", i), Key: fmt.Sprint("key-of-ws-", i), Load: 1, Quota: quota}
		if i < hot {
			w.Load = factor
		}
		if len(priorities) > 0 {
			w.Priority = priorities[i%len(priorities)]
		}
		out = append(out, w)
	}
	return out
}

// meanTokens is the mean size of a call to an engine.
func meanTokens() float64 {
	return (1-longShare)*(shortPrompt+shortOutput) + longShare*(longPrompt+longOutput)
}

// load is the load of the deployment in multiples of its usual one.
func (s *Site) load() float64 {
	if len(s.Workspaces) == 0 {
		return 1
	}
	sum := 0.0
	for i := range s.Workspaces {
		sum += s.Workspaces[i].Load
	}
	return sum / float64(len(s.Workspaces))
}

// draw draws the workspace of a call by the load that each sends, or nil without workspaces.
func (s *Site) draw(rng *rand.Rand) *Workspace {
	if len(s.Workspaces) == 0 {
		return nil
	}
	at := rng.Float64() * s.load() * float64(len(s.Workspaces))
	for i := range s.Workspaces {
		if at -= s.Workspaces[i].Load; at < 0 {
			return &s.Workspaces[i]
		}
	}
	return &s.Workspaces[len(s.Workspaces)-1]
}

// drawTokens draws the prompt and output tokens of a call to an engine.
func drawTokens(rng *rand.Rand) (prompt, output int) {
	if rng.Float64() < longShare {
		return longPrompt, longOutput
	}
	return shortPrompt, shortOutput
}

// workspaces returns the workspaces of the configuration, or nil if calls need no key.
func (s *Site) workspaces() []topo.Workspace {
	var out []topo.Workspace
	for i := range s.Workspaces {
		w := &s.Workspaces[i]
		out = append(out, topo.Workspace{
			Name: w.Name, Keys: []topo.KeyDigest{topo.DigestKey(w.Key)}, Priority: w.Priority, HasPriority: true,
			Quota: w.Quota,
		})
	}
	return out
}

// revokeTime is 0 where calls need no key, so that hosts do not depend on confirmations there.
func (s *Site) revokeTime() time.Duration {
	if len(s.Workspaces) == 0 {
		return 0
	}
	return revokeTime
}

// parseSpec returns the size of a call to an engine. Callers state it where there are workspaces.
func parseSpec(h http.Header) (topo.CallSpec, error) {
	spec := topo.CallSpec{Model: modelName, PromptTokens: promptTokens, OutputTokens: outputTokens}
	if value := h.Get(headerTokens); value != "" {
		prompt, output, _ := strings.Cut(value, ",")
		var err error
		if spec.PromptTokens, err = strconv.Atoi(prompt); err != nil {
			return spec, errors.Wrap(err, "parse prompt tokens")
		}
		if spec.OutputTokens, err = strconv.Atoi(output); err != nil {
			return spec, errors.Wrap(err, "parse output tokens")
		}
	}
	spec.StatedOutput = spec.OutputTokens
	return spec, nil
}
