package local

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/figreel/figreel/internal/emul/fault"
	"github.com/figreel/figreel/internal/engine"
	"github.com/figreel/figreel/internal/member"
	"github.com/figreel/figreel/internal/opcli"
	"github.com/figreel/figreel/internal/qrpc"
	"github.com/figreel/figreel/internal/stats"
	"github.com/figreel/figreel/internal/wire"
)

const (
	doubleTimeout = 3 * time.Minute
	// applyTimeout is longer than the 10 s in which a host tries to find out whether a change was stored.
	applyTimeout = 20 * time.Second
)

// Guards against lost or doubled effects when two faults coincide, with real processes under load: lost responses to
// configuration writes and to engine orders, operators that apply changes at the same time, a host with an outdated
// revision, hosts that fail while the key-value service is down, and a pool owner that is paused while its orders are
// in doubt.
func TestDoubleFaults(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	ctx, cancel := context.WithTimeout(t.Context(), doubleTimeout)
	defer cancel()
	// The memory is too small for two versions of the larger model (24 GB each) on one engine.
	underLoad(ctx, t, &Cluster{Hosts: 4, EngineMB: 44_000, ReserveMB: 2000}, []step{
		{"lost answer of a configuration write", loseWriteResponse},
		{"two operators at once", raceOperators},
		{"new version in tight memory with lost order answers", replaceModelVersion},
		{"a host that offers an older revision", joinStaleMember},
		{"hosts killed and restarted in an outage", restartDuringOutage},
		{"paused owner, lost order answers and an engine restart", pauseOwner},
	})
}

// loseWriteResponse drops the response to the store write of a change; apply must still report that it was accepted.
func loseWriteResponse(ctx context.Context, t *testing.T, l *loadTest) {
	spec := fault.Spec{Path: "/v1/put", Contains: `"env/` + Environment + `/rev/2"`, DropResponse: true, Count: 1}
	l.injectFault(ctx, "kv", spec)
	out, code := l.apply(ctx, HostName(0), 1, l.writeCandidate("adapter", "slots-two"))
	if code != 0 || !strings.Contains(out, "revision 2") {
		t.Errorf("apply with a lost response exited with %d: %s", code, out)
	}
	resp, err := l.cluster.Get(ctx, "kv", "/fault")
	must(t, err)
	if strings.TrimSpace(string(resp.Body)) != "{}" {
		t.Errorf("no response was dropped, the fault is still set: %s", resp.Body)
	}
	l.acceptCandidate("slots-two")
	l.checkServedByAll(ctx, "slots-two")
}

// raceOperators applies two documents with the same base revision through two hosts at once. Exactly one may be
// accepted; the other operator must get a conflict that names the new revision.
// The change IDs tell each host whether its own change was the one that was stored.
func raceOperators(ctx context.Context, t *testing.T, l *loadTest) {
	type result struct {
		out  string
		code int
	}
	names := []string{"slots-left", "slots-right"}
	results := make([]chan result, len(names))
	for i, name := range names {
		results[i] = make(chan result, 1)
		file := l.writeCandidate("adapter", name)
		go func() {
			out, code := l.apply(ctx, HostName(i), 2, file)
			results[i] <- result{out, code}
		}()
	}
	winner := -1
	for i, c := range results {
		switch r := <-c; r.code {
		case 0:
			if winner >= 0 {
				t.Errorf("both changes with the same base revision were accepted")
			}
			winner = i
		case opcli.ExitConflict:
			if !strings.Contains(r.out, "revision 3") {
				t.Errorf("the conflict does not name revision 3: %s", r.out)
			}
		default:
			t.Errorf("apply of %s exited with %d: %s", names[i], r.code, r.out)
		}
	}
	if winner < 0 {
		t.Fatal("no change was accepted")
	}
	l.checkServedByAll(ctx, names[winner])
	for i := range l.cluster.Hosts {
		if l.listsAdapter(ctx, HostName(i), names[1-winner]) {
			t.Errorf("%s serves the rejected change", HostName(i))
		}
	}
	l.acceptCandidate(names[winner])
}

// replaceModelVersion replaces the larger model while each engine's response to the first order for the new version is
// lost. The old and the new version do not fit on the same engine.
func replaceModelVersion(ctx context.Context, t *testing.T, l *loadTest) {
	l.loseOrderResponses(ctx, "contracts@2")
	l.mu.Lock()
	l.modelItems["contracts"] = []string{"contracts@1", "contracts@2"}
	l.mu.Unlock()
	doc, err := os.ReadFile(l.cluster.DocumentFile())
	must(t, err)
	changed := strings.Replace(string(doc), `name: contracts, version: "1"`, `name: contracts, version: "2"`, 1)
	must(t, os.WriteFile(l.cluster.DocumentFile(), []byte(changed), fileMode))
	if out, code := l.apply(ctx, HostName(0), 3, l.cluster.DocumentFile()); code != 0 {
		t.Fatalf("apply exited with %d: %s", code, out)
	}
	until, cancel := context.WithTimeout(ctx, maxRecoveryTime)
	defer cancel()
	if err := l.cluster.waitUntil(until, func() bool {
		for i := range l.cluster.Engines {
			for _, attempt := range l.engineRecord(EngineName(i)).Attempts {
				if attempt.Item == "contracts@2" && attempt.Done {
					return true
				}
			}
		}
		return false
	}); err != nil {
		t.Errorf("the new version completes no call within %s", maxRecoveryTime)
	}
}

// loseOrderResponses makes each engine drop its response to the next order for an item.
func (l *loadTest) loseOrderResponses(ctx context.Context, item string) {
	l.t.Helper()
	for i := range l.cluster.Engines {
		spec := fault.Spec{Path: "/v1/orders", Contains: `"item":"` + item + `"`, DropResponse: true, Count: 1}
		l.injectFault(ctx, EngineName(i), spec)
	}
}

// joinStaleMember adds a member that keeps announcing and serving revision 4, until the test ends, after the hosts have
// moved to revision 5. The hosts must not go back to the older revision, even after three pings from each of them.
func joinStaleMember(ctx context.Context, t *testing.T, l *loadTest) {
	cert, err := l.cluster.authority.IssueHost("stale", net.IPv4(127, 0, 0, 1))
	must(t, err)
	node := &qrpc.Endpoint{Addr: "127.0.0.1:0", Cert: cert, CA: l.cluster.authority.Pool, Stats: new(stats.Set)}
	addr, err := node.Listen()
	must(t, err)
	var stale wire.Document
	must(t, wire.Call(ctx, node, l.cluster.addr(HostName(0)+"-fellow"), wire.KindPull, wire.Pull{Revision: 4}, &stale))
	if out, code := l.apply(ctx, HostName(0), 4, l.writeCandidate("adapter", "slots-five")); code != 0 {
		t.Fatalf("apply exited with %d: %s", code, out)
	}
	l.acceptCandidate("slots-five")
	l.checkServedByAll(ctx, "slots-five")

	pings := make(chan string, 1)
	table := &member.Table{
		Self: wire.Member{
			Name: "stale", Addr: addr.String(), CallerURL: "http://" + addr.String(), Domain: FailureDomain(0),
		},
		Seeds: []string{l.cluster.addr(HostName(0) + "-fellow")}, Dialer: node, Stats: new(stats.Set),
		Revision: func() int64 { return stale.Revision },
		OnPeerRevision: func(_ int64, from wire.Member) {
			select {
			case pings <- from.Name:
			default:
			}
		},
	}
	node.Handlers = table.Handlers()
	node.Handlers[wire.KindPull] = func(_ context.Context, _ string, _ wire.Kind, c wire.Stream) {
		defer func() { _ = c.Close() }()
		var p wire.Pull
		if c.Recv(&p) == nil {
			_ = c.Send(stale)
		}
	}
	go func() { _ = node.Run(ctx) }()
	go func() { _ = table.Run(ctx) }()
	count := make(map[string]int)
	for slices.Min([]int{count[HostName(0)], count[HostName(1)], count[HostName(2)], count[HostName(3)]}) < 3 {
		select {
		case name := <-pings:
			count[name]++
		case <-ctx.Done():
			t.Fatalf("hosts sent too few pings to the member with the old revision: %v", count)
		}
	}
	l.checkServedByAll(ctx, "slots-five")
}

// restartDuringOutage pauses one host while a change is applied, so that it stays at the older revision. A host that
// restarts while the key-value service is down must not take the configuration from that one.
func restartDuringOutage(ctx context.Context, t *testing.T, l *loadTest) {
	stale, killed, restarted, current := HostName(0), HostName(3), HostName(1), HostName(2)
	must(t, l.cluster.Signal(stale, syscall.SIGSTOP))
	out, code := l.apply(ctx, current, 5, l.writeCandidate("adapter", "slots-four"))
	if code != 0 {
		t.Fatalf("apply exited with %d: %s", code, out)
	}
	l.acceptCandidate("slots-four")
	l.checkServed(ctx, "slots-four", current, restarted, killed)
	must(t, l.cluster.Signal("kv", syscall.SIGSTOP))
	must(t, l.cluster.Kill(killed))
	must(t, l.cluster.Kill(restarted))
	must(t, l.cluster.Signal(stale, syscall.SIGCONT))
	must(t, l.cluster.Restart(restarted))
	served := false
	until := time.Now().Add(maxApplyTime)
	for !served && time.Now().Before(until) {
		resp, err := l.cluster.Get(ctx, restarted, "/v1/models")
		if err == nil && resp.Status == http.StatusOK {
			served = true
			if !strings.Contains(string(resp.Body), `"slots-four"`) {
				t.Errorf("the restarted host serves an older revision: %s", resp.Body)
			}
		}
	}
	if !served {
		t.Errorf("the restarted host did not serve within %s during the outage", maxApplyTime)
	}
	l.checkServed(ctx, "slots-four", stale, current, restarted)
	l.checkAllModels(ctx, "in the outage after host failures")
	out, code = l.apply(ctx, current, 6, l.writeCandidate("adapter", "slots-never"))
	if code != opcli.ExitError {
		t.Errorf("apply during the outage exited with %d instead of a refusal: %s", code, out)
	}
	must(t, l.cluster.Signal("kv", syscall.SIGCONT))
	must(t, l.cluster.Restart(killed))
	l.checkServedByAll(ctx, "slots-four")
	if l.listsAdapter(ctx, current, "slots-never") {
		t.Error("a refused change is served")
	}
}

// pauseOwner drops the responses to the first orders for a new model, pauses the pool's owner and restarts an engine
// that has received such an order. The next owner must find out what the engines hold and load the model.
func pauseOwner(ctx context.Context, t *testing.T, l *loadTest) {
	l.loseOrderResponses(ctx, "forms@1")
	owner := l.waitForOwner(ctx, "")
	entry := HostName(0)
	if owner == entry {
		entry = HostName(1)
	}
	out, code := l.apply(ctx, entry, 6, l.writeCandidate("model", "forms"))
	if code != 0 {
		t.Fatalf("apply exited with %d: %s", code, out)
	}
	var engineName string
	must(t, l.cluster.waitUntil(ctx, func() bool {
		for i := range l.cluster.Engines {
			if rec := l.engineRecord(EngineName(i)); hasOrderFor(rec.Orders, "forms@1") {
				engineName = EngineName(i)
			}
		}
		return engineName != ""
	}))
	must(t, l.cluster.Signal(owner, syscall.SIGSTOP))
	l.killAndRestartEngine(engineName)
	next := l.waitForOwner(ctx, owner)
	must(t, l.cluster.Signal(owner, syscall.SIGCONT))
	t.Logf("%s was restarted after an order, %s took over the pool from %s", engineName, next, owner)
	until, cancel := context.WithTimeout(ctx, maxRecoveryTime)
	defer cancel()
	for i := range l.cluster.Hosts {
		err := l.cluster.waitUntil(until, func() bool { return l.generate(until, HostName(i), "forms") == nil })
		if err != nil {
			t.Errorf("the new model completes no call through %s within %s", HostName(i), maxRecoveryTime)
		}
	}
}

func hasOrderFor(orders []engine.Order, item string) bool {
	for _, o := range orders {
		if o.Item == item {
			return true
		}
	}
	return false
}

// waitForOwner waits until a host other than except holds the pool's lease, and returns its name.
func (l *loadTest) waitForOwner(ctx context.Context, except string) string {
	l.t.Helper()
	var owner string
	must(l.t, l.cluster.waitUntil(ctx, func() bool {
		for i := range l.cluster.Hosts {
			if name := HostName(i); name != except && l.gauge(ctx, name, "pools_owned") > 0 {
				owner = name
			}
		}
		return owner != ""
	}))
	return owner
}

// gauge returns a gauge from the metrics of a host, or 0 when it cannot be read.
func (l *loadTest) gauge(ctx context.Context, host, name string) int {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	resp, err := l.cluster.do(ctx, http.MethodGet, l.cluster.URL(host+"-op")+"/debug/vars", "",
		map[string]string{"Authorization": "Bearer " + OperatorKey})
	var vars struct {
		Gauges map[string]int `json:"figreel_gauges"`
	}
	if err != nil || json.Unmarshal(resp.Body, &vars) != nil {
		return 0
	}
	return vars.Gauges[name]
}

func (l *loadTest) injectFault(ctx context.Context, name string, spec fault.Spec) {
	l.t.Helper()
	body, err := json.Marshal(spec)
	must(l.t, err)
	resp, err := l.cluster.Post(ctx, name, "/fault", string(body), nil)
	must(l.t, err)
	if resp.Status != http.StatusOK {
		l.t.Fatalf("set fault in %s: status %d", name, resp.Status)
	}
}

// writeCandidate writes a candidate document, the current one with an adapter or a model added, to a file of its own.
// It returns the path.
func (l *loadTest) writeCandidate(kind, name string) string {
	l.t.Helper()
	doc, err := os.ReadFile(l.cluster.DocumentFile())
	must(l.t, err)
	file := filepath.Join(l.cluster.Dir, "draft-"+name+".yaml")
	heading, line := "adapters:\n", adapterLine(name)
	if kind == "model" {
		heading = "models:\n"
		line = fmt.Sprintf("  - {name: %s, version: \"1\", pool: assistant, class: quick, memory_mb: 9000, "+
			"min_copies: 2}\n", name)
	}
	must(l.t, os.WriteFile(file, []byte(strings.Replace(string(doc), heading, heading+line, 1)), fileMode))
	return file
}

// acceptCandidate makes an accepted candidate the current document, on which the next candidate is based.
func (l *loadTest) acceptCandidate(name string) {
	l.t.Helper()
	must(l.t, os.Rename(filepath.Join(l.cluster.Dir, "draft-"+name+".yaml"), l.cluster.DocumentFile()))
}

// apply runs "figreel apply" once and returns its output and exit code. If the command did not run, it returns the
// error text and -1.
func (l *loadTest) apply(ctx context.Context, host string, base int, file string) (string, int) {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	out, err := l.cluster.runFigreel(ctx, "apply", "--base", fmt.Sprint(base),
		"--host", l.cluster.URL(host+"-op"), file)
	var exit *exec.ExitError
	switch {
	case err == nil:
		return string(out), 0
	case errors.As(err, &exit):
		return string(out), exit.ExitCode()
	default:
		return err.Error(), -1
	}
}

// checkServedByAll checks that all hosts list an adapter within maxApplyTime.
func (l *loadTest) checkServedByAll(ctx context.Context, adapter string) {
	l.t.Helper()
	var hosts []string
	for i := range l.cluster.Hosts {
		hosts = append(hosts, HostName(i))
	}
	l.checkServed(ctx, adapter, hosts...)
}

func (l *loadTest) listsAdapter(ctx context.Context, host, adapter string) bool {
	resp, err := l.cluster.Get(ctx, host, "/v1/models")
	return err == nil && strings.Contains(string(resp.Body), `"`+adapter+`"`)
}
