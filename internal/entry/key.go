package entry

import (
	"net/http"
	"strconv"

	"github.com/figreel/figreel/internal/creds"
)

const (
	// maxPriority is the least urgent priority that engines accept.
	maxPriority = 9
	// routePriorities is the number of priorities of routes within one priority of workspaces.
	routePriorities = 3
	// maxTokens bounds each number of tokens that counts in a quota.
	maxTokens = 1 << 30
)

// checkKey finds the workspace of the call by its key in the configuration that is active now. It reports whether the
// call may be sent to an upstream; if not, it has ended the call.
func (c *call) checkKey() bool {
	switch refusal := c.lookUpKey(); {
	case refusal == "":
		return true
	case refusal == creds.ReasonStale || c.mayHaveExecuted || c.callerLeft():
		c.finishWithoutResponse(refusal)
	default:
		c.w.Header().Set("Www-Authenticate", creds.Scheme)
		c.fail(http.StatusUnauthorized, refusal)
	}
	return false
}

// lookUpKey finds the workspace of the call as checkKey does, and returns the reason if the call may not be sent.
func (c *call) lookUpKey() (refusal string) {
	if c.s.Keys == nil {
		return ""
	}
	w, keyed, refusal := c.s.Keys.Check(c.route.Public, c.r.Header.Values(c.s.Headers.Key))
	if refusal == "" {
		c.workspace, c.keyed = w, keyed
	}
	return refusal
}

// setWorkspace replaces the caller's credentials in the header of a request to an upstream by the name of its
// workspace, if calls need keys.
func (c *call) setWorkspace(h http.Header) {
	if !c.keyed {
		return
	}
	h.Del(c.s.Headers.Key)
	h.Del(c.s.Headers.Workspace)
	if c.workspace != nil {
		h.Set(c.s.Headers.Workspace, c.workspace.Name)
	}
}

// priority returns the priority of the call. That of its workspace, if it has one, goes before that of its route.
func (c *call) priority() int {
	if c.workspace == nil || !c.workspace.HasPriority {
		return c.route.Priority
	}
	return c.workspace.Priority*routePriorities + min(c.route.Priority, routePriorities-1)
}

// setPriority sets the priority in the header of a request to an engine.
func (c *call) setPriority(h http.Header) {
	h.Set(c.s.Headers.Priority, strconv.Itoa(min(c.priority(), maxPriority)))
}

// workspaceName returns the name of the workspace of the call, or an empty string if it has none.
func (c *call) workspaceName() string {
	if c.workspace == nil {
		return ""
	}
	return c.workspace.Name
}

// cost returns what the call counts as in the quota of its workspace.
func (c *call) cost() float64 {
	if c.workspace == nil {
		return 0
	}
	// Numbers that are not credible must neither give units back nor overflow.
	credible := func(n int) int { return min(max(n, 0), maxTokens) }
	return c.workspace.Quota.Cost(credible(c.spec.PromptTokens), credible(c.spec.StatedOutput), c.spec.Model == "")
}
