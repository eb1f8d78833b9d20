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
	// refused is longer than the 10 s for which a host resolves the outcome of a change.
	refused = 20 * time.Second
)

// TestDoubleFaults guards the promises against faults that meet, with real processes under load: a lost answer of a
// configuration write, racing operators, host failures in a key-value outage, and a paused owner with a lost order.
func TestDoubleFaults(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	ctx, cancel := context.WithTimeout(t.Context(), doubleTimeout)
	defer cancel()
	// Two versions of the larger model do not fit on one engine.
	underLoad(ctx, t, &Cluster{Hosts: 4, EngineMB: 44_000, ReserveMB: 2000}, []step{
		{"lost answer of a configuration write", lostWrite},
		{"two operators at once", race},
		{"new version in tight memory with lost order answers", newVersion},
		{"a host that offers an older revision", olderRevision},
		{"hosts killed and restarted in an outage", outageRestart},
		{"paused owner, lost order answers and an engine restart", pausedOwner},
	})
}

func lostWrite(ctx context.Context, t *testing.T, l *load) {
	plan := fault.Spec{Path: "/v1/put", Contains: `"env/` + Environment + `/rev/2"`, DropResponse: true, Count: 1}
	l.fault(ctx, "kv", plan)
	out, code := l.apply(ctx, HostName(0), 1, l.draft("adapter", "slots-two"))
	if code != 0 || !strings.Contains(out, "revision 2") {
		t.Errorf("apply with a lost answer ended with %d: %s", code, out)
	}
	a, err := l.rig.Get(ctx, "kv", "/fault")
	must(t, err)
	if strings.TrimSpace(string(a.Body)) != "{}" {
		t.Errorf("no answer was lost: %s", a.Body)
	}
	l.adopt("slots-two")
	l.everywhere(ctx, "slots-two")
}

// race applies two documents with one base through two hosts; each answer is resolved by the change ids.
func race(ctx context.Context, t *testing.T, l *load) {
	type result struct {
		out  string
		code int
	}
	names := []string{"slots-left", "slots-right"}
	results := make([]chan result, len(names))
	for i, name := range names {
		results[i] = make(chan result, 1)
		file := l.draft("adapter", name)
		go func() {
			out, code := l.apply(ctx, HostName(i), 2, file)
			results[i] <- result{out, code}
		}()
	}
	won := -1
	for i, c := range results {
		switch r := <-c; r.code {
		case 0:
			if won >= 0 {
				t.Errorf("both changes were accepted")
			}
			won = i
		case opcli.ExitConflict:
			if !strings.Contains(r.out, "revision 3") {
				t.Errorf("the losing operator is not told of revision 3: %s", r.out)
			}
		default:
			t.Errorf("apply of %s ended with %d: %s", names[i], r.code, r.out)
		}
	}
	if won < 0 {
		t.Fatal("no change was accepted")
	}
	l.everywhere(ctx, names[won])
	for i := range l.rig.Hosts {
		if l.serves(ctx, HostName(i), names[1-won]) {
			t.Errorf("%s serves the change that lost", HostName(i))
		}
	}
	l.adopt(names[won])
}

// newVersion replaces the larger model, whose versions only fit beside each other on different engines.
func newVersion(ctx context.Context, t *testing.T, l *load) {
	l.loseOrders(ctx, "contracts@2")
	l.mu.Lock()
	l.items["contracts"] = []string{"contracts@1", "contracts@2"}
	l.mu.Unlock()
	doc, err := os.ReadFile(l.rig.DocumentFile())
	must(t, err)
	changed := strings.Replace(string(doc), `name: contracts, version: "1"`, `name: contracts, version: "2"`, 1)
	must(t, os.WriteFile(l.rig.DocumentFile(), []byte(changed), fileMode))
	if out, code := l.apply(ctx, HostName(0), 3, l.rig.DocumentFile()); code != 0 {
		t.Fatalf("apply ended with %d: %s", code, out)
	}
	until, cancel := context.WithTimeout(ctx, recovers)
	defer cancel()
	if err := l.rig.await(until, func() bool {
		for i := range l.rig.Engines {
			for _, a := range l.record(EngineName(i)).Attempts {
				if a.Item == "contracts@2" && a.Done {
					return true
				}
			}
		}
		return false
	}); err != nil {
		t.Errorf("the new version does not answer within %s", recovers)
	}
}

// loseOrders makes each engine lose the answer to its first order for an item.
func (l *load) loseOrders(ctx context.Context, item string) {
	l.t.Helper()
	for i := range l.rig.Engines {
		plan := fault.Spec{Path: "/v1/orders", Contains: `"item":"` + item + `"`, DropResponse: true, Count: 1}
		l.fault(ctx, EngineName(i), plan)
	}
}

// olderRevision joins the hosts as a member that stays at a revision which others have left, until the test ends.
func olderRevision(ctx context.Context, t *testing.T, l *load) {
	cert, err := l.rig.authority.IssueHost("stale", net.IPv4(127, 0, 0, 1))
	must(t, err)
	node := &qrpc.Endpoint{Addr: "127.0.0.1:0", Cert: cert, CA: l.rig.authority.Pool, Stats: new(stats.Set)}
	addr, err := node.Listen()
	must(t, err)
	var old wire.Document
	must(t, wire.Call(ctx, node, l.rig.addr(HostName(0)+"-fellow"), wire.KindPull, wire.Pull{Revision: 4}, &old))
	if out, code := l.apply(ctx, HostName(0), 4, l.draft("adapter", "slots-five")); code != 0 {
		t.Fatalf("apply ended with %d: %s", code, out)
	}
	l.adopt("slots-five")
	l.everywhere(ctx, "slots-five")

	heard := make(chan string, 1)
	table := &member.Table{
		Self: wire.Member{
			Name: "stale", Addr: addr.String(), CallerURL: "http://" + addr.String(), Domain: FailureDomain(0),
		},
		Seeds: []string{l.rig.addr(HostName(0) + "-fellow")}, Dialer: node, Stats: new(stats.Set),
		Revision: func() int64 { return old.Revision },
		OnPeerRevision: func(_ int64, from wire.Member) {
			select {
			case heard <- from.Name:
			default:
			}
		},
	}
	node.Handlers = table.Handlers()
	node.Handlers[wire.KindPull] = func(_ context.Context, _ string, _ wire.Kind, c wire.Stream) {
		defer func() { _ = c.Close() }()
		var p wire.Pull
		if c.Recv(&p) == nil {
			_ = c.Send(old)
		}
	}
	go func() { _ = node.Run(ctx) }()
	go func() { _ = table.Run(ctx) }()
	times := make(map[string]int)
	for slices.Min([]int{times[HostName(0)], times[HostName(1)], times[HostName(2)], times[HostName(3)]}) < 3 {
		select {
		case name := <-heard:
			times[name]++
		case <-ctx.Done():
			t.Fatalf("pings of the hosts: %v", times)
		}
	}
	l.everywhere(ctx, "slots-five")
}

// outageRestart leaves one host at an older revision; a host that restarts in the outage must not learn from that one.
func outageRestart(ctx context.Context, t *testing.T, l *load) {
	behind, killed, restarted, current := HostName(0), HostName(3), HostName(1), HostName(2)
	must(t, l.rig.Signal(behind, syscall.SIGSTOP))
	out, code := l.apply(ctx, current, 5, l.draft("adapter", "slots-four"))
	if code != 0 {
		t.Fatalf("apply ended with %d: %s", code, out)
	}
	l.adopt("slots-four")
	l.inForce(ctx, "slots-four", current, restarted, killed)
	must(t, l.rig.Signal("kv", syscall.SIGSTOP))
	must(t, l.rig.Kill(killed))
	must(t, l.rig.Kill(restarted))
	must(t, l.rig.Signal(behind, syscall.SIGCONT))
	must(t, l.rig.Restart(restarted))
	served := false
	until := time.Now().Add(inForce)
	for !served && time.Now().Before(until) {
		a, err := l.rig.Get(ctx, restarted, "/v1/models")
		if err == nil && a.Status == http.StatusOK {
			served = true
			if !strings.Contains(string(a.Body), `"slots-four"`) {
				t.Errorf("the restarted host serves an older revision: %s", a.Body)
			}
		}
	}
	if !served {
		t.Errorf("the restarted host did not serve within %s of the outage", inForce)
	}
	l.inForce(ctx, "slots-four", behind, current, restarted)
	l.answers(ctx, "in the outage after host failures")
	out, code = l.apply(ctx, current, 6, l.draft("adapter", "slots-never"))
	if code != opcli.ExitError {
		t.Errorf("apply in the outage ended with %d instead of a refusal: %s", code, out)
	}
	must(t, l.rig.Signal("kv", syscall.SIGCONT))
	must(t, l.rig.Restart(killed))
	l.everywhere(ctx, "slots-four")
	if l.serves(ctx, current, "slots-never") {
		t.Error("a refused change is in force")
	}
}

// pausedOwner loses the answers to the orders for a new model, pauses the owner and restarts an engine that has one.
func pausedOwner(ctx context.Context, t *testing.T, l *load) {
	l.loseOrders(ctx, "forms@1")
	owner := l.owner(ctx, "")
	through := HostName(0)
	if owner == through {
		through = HostName(1)
	}
	out, code := l.apply(ctx, through, 6, l.draft("model", "forms"))
	if code != 0 {
		t.Fatalf("apply ended with %d: %s", code, out)
	}
	var ordered string
	must(t, l.rig.await(ctx, func() bool {
		for i := range l.rig.Engines {
			if rec := l.record(EngineName(i)); ordersFor(rec.Orders, "forms@1") {
				ordered = EngineName(i)
			}
		}
		return ordered != ""
	}))
	must(t, l.rig.Signal(owner, syscall.SIGSTOP))
	l.restartEngine(ordered)
	next := l.owner(ctx, owner)
	must(t, l.rig.Signal(owner, syscall.SIGCONT))
	t.Logf("orders for %s were lost, %s followed %s", ordered, next, owner)
	until, cancel := context.WithTimeout(ctx, recovers)
	defer cancel()
	for i := range l.rig.Hosts {
		err := l.rig.await(until, func() bool { return l.generate(until, HostName(i), "forms") == nil })
		if err != nil {
			t.Errorf("the new model does not answer through %s within %s", HostName(i), recovers)
		}
	}
}

func ordersFor(orders []engine.Order, item string) bool {
	for _, o := range orders {
		if o.Item == item {
			return true
		}
	}
	return false
}

// owner waits for a host other than the given one that owns the pool.
func (l *load) owner(ctx context.Context, not string) string {
	l.t.Helper()
	var found string
	must(l.t, l.rig.await(ctx, func() bool {
		for i := range l.rig.Hosts {
			if name := HostName(i); name != not && l.gauge(ctx, name, "pools_owned") > 0 {
				found = name
			}
		}
		return found != ""
	}))
	return found
}

// gauge reads a current value of a host, or 0 when it does not answer.
func (l *load) gauge(ctx context.Context, host, name string) int {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	a, err := l.rig.do(ctx, http.MethodGet, l.rig.URL(host+"-op")+"/debug/vars", "",
		map[string]string{"Authorization": "Bearer " + OperatorKey})
	var vars struct {
		Gauges map[string]int `json:"figreel_gauges"`
	}
	if err != nil || json.Unmarshal(a.Body, &vars) != nil {
		return 0
	}
	return vars.Gauges[name]
}

func (l *load) fault(ctx context.Context, name string, p fault.Spec) {
	l.t.Helper()
	body, err := json.Marshal(p)
	must(l.t, err)
	a, err := l.rig.Post(ctx, name, "/fault", string(body), nil)
	must(l.t, err)
	if a.Status != http.StatusOK {
		l.t.Fatalf("fault of %s: status %d", name, a.Status)
	}
}

// draft writes the document with one adapter or model more to a file of its own, and returns that.
func (l *load) draft(kind, name string) string {
	l.t.Helper()
	doc, err := os.ReadFile(l.rig.DocumentFile())
	must(l.t, err)
	file := filepath.Join(l.rig.Dir, "draft-"+name+".yaml")
	heading, line := "adapters:\n", adapterLine(name)
	if kind == "model" {
		heading = "models:\n"
		line = fmt.Sprintf("  - {name: %s, version: \"1\", pool: assistant, class: quick, memory_mb: 9000, "+
			"min_copies: 2}\n", name)
	}
	must(l.t, os.WriteFile(file, []byte(strings.Replace(string(doc), heading, heading+line, 1)), fileMode))
	return file
}

// adopt makes an accepted draft the document that the next draft starts from.
func (l *load) adopt(name string) {
	l.t.Helper()
	must(l.t, os.Rename(filepath.Join(l.rig.Dir, "draft-"+name+".yaml"), l.rig.DocumentFile()))
}

// apply runs figreel apply once and returns its output and exit code.
func (l *load) apply(ctx context.Context, through string, base int, file string) (string, int) {
	ctx, cancel := context.WithTimeout(ctx, refused)
	defer cancel()
	out, err := l.rig.operate(ctx, "apply", "--base", fmt.Sprint(base), "--host", l.rig.URL(through+"-op"), file)
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

// everywhere checks that all hosts serve an adapter within the stated time.
func (l *load) everywhere(ctx context.Context, adapter string) {
	l.t.Helper()
	var names []string
	for i := range l.rig.Hosts {
		names = append(names, HostName(i))
	}
	l.inForce(ctx, adapter, names...)
}

func (l *load) serves(ctx context.Context, host, adapter string) bool {
	a, err := l.rig.Get(ctx, host, "/v1/models")
	return err == nil && strings.Contains(string(a.Body), `"`+adapter+`"`)
}
