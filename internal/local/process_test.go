package local

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/figreel/figreel/internal/emul/fault"
	"github.com/figreel/figreel/internal/emul/model"
	"github.com/figreel/figreel/internal/svcreg"
)

const (
	testTimeout = 4 * time.Minute
	// inForce is the stated time within which an accepted configuration is in force everywhere.
	inForce = 12 * time.Second
	// departs is the time after which a leaving engine gets no new work: list lag 2 s, and a few seconds.
	departs = 5 * time.Second
	// lapse is longer than a lease.
	lapse = 12 * time.Second
	// recovers bounds the time until every model answers again after a fault.
	recovers = 30 * time.Second
	loaders  = 6
	// callsAfterLeaving is how many calls must pass a leaving engine by.
	callsAfterLeaving = 40
)

type (
	// load sends calls through any host and keeps what came back.
	load struct {
		t   *testing.T
		rig *Cluster

		mu      sync.Mutex
		next    int
		notRun  map[string]string   // request id to code
		items   map[string][]string // the versions of each model that may answer
		past    []model.Record      // of engines that were killed
		whole   int
		broken  int
		charges []string // keys whose charge has a final answer
		pending []string // keys whose outcome is not known yet

		stopping string // the host of a planned stop, which must not cut a call
		left     string // the host that callers no longer use
	}

	// step brings about one fault, or several at once.
	step struct {
		name string
		run  func(context.Context, *testing.T, *load)
	}

	failure struct {
		Error struct {
			Code    string `json:"code"`
			Outcome string `json:"outcome"`
		} `json:"error"`
	}

	completion struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
)

var items = map[string][]string{"slots": {"slots@1"}, "contracts": {"contracts@1"}, "forms": {"forms@1"}}

// TestProcesses guards the promises against kill -9, pauses past the lease, a key-value outage, a killed and a leaving
// engine and a planned stop, with real processes under load; it checks what the stand-ins recorded.
func TestProcesses(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	underLoad(ctx, t, &Cluster{Hosts: 3}, []step{
		{"lost answers of charges", lostCharges},
		{"kill a host", killHost},
		{"pause a host past its lease and change the configuration", pauseHost},
		{"key-value service outage", outage},
		{"kill an engine", killEngine},
		{"all engines lose their memory", killEngines},
		{"an engine leaves", leaveEngine},
		{"planned stop with long streams", plannedStop},
	})
}

// underLoad starts a rig, brings the faults about one after the other while calls are sent, and checks the records.
func underLoad(ctx context.Context, t *testing.T, r *Cluster, steps []step) {
	t.Helper()
	r.Dir, r.Engines, r.Document = t.TempDir(), 4, SmallDocument
	source, err := filepath.Abs("../..")
	must(t, err)
	began := time.Now()
	must(t, r.Start(ctx, source))
	t.Cleanup(func() {
		ended := r.ended()
		r.Stop()
		showLogs(t, r, ended)
	})
	_, err = r.Apply(ctx)
	must(t, err)
	must(t, r.AwaitReady(ctx, "slots", "contracts", "slots-north"))
	t.Logf("ready: %.1f s", time.Since(began).Seconds())

	l := &load{t: t, rig: r, notRun: make(map[string]string), items: maps.Clone(items)}
	loadCtx, stopLoad := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for i := range loaders {
		wg.Go(func() { l.run(loadCtx, i) })
	}
	for i := range r.Hosts {
		wg.Go(func() { l.watch(loadCtx, HostName(i)) })
	}
	for _, s := range steps {
		began := time.Now()
		s.run(ctx, t, l)
		l.answers(ctx, s.name)
		t.Logf("%s: %.1f s", s.name, time.Since(began).Seconds())
	}
	stopLoad()
	wg.Wait()
	l.settle(ctx)
	l.check(ctx)
}

// lostCharges loses the answers of charges with and without a key; both are then sent again with their key if any.
func lostCharges(ctx context.Context, t *testing.T, l *load) {
	for _, header := range []map[string]string{{"Idempotency-Key": "lost-1"}, {}} {
		body := "lost charge with " + fmt.Sprint(len(header)) + " keys"
		for _, desk := range desks {
			l.fault(ctx, desk, fault.Spec{Contains: body, DropResponse: true, Count: 1})
		}
		a, err := l.rig.Post(ctx, HostName(0), "/svc/deposits/charge", body, header)
		must(t, err)
		var f failure
		if err := json.Unmarshal(a.Body, &f); err != nil || f.Error.Outcome != "outcome_unknown" {
			t.Errorf("charge whose answer was lost: status %d, %s", a.Status, a.Body)
		}
		for _, desk := range desks {
			l.fault(ctx, desk, fault.Spec{})
		}
		if len(header) > 0 {
			_, err = l.rig.Post(ctx, HostName(1), "/svc/deposits/charge", body, header)
			must(t, err)
		}
		n := 0
		for _, run := range l.runs(ctx) {
			if run.Body == body {
				n++
			}
		}
		if n != 1 {
			t.Errorf("%s ran %d times", body, n)
		}
	}
}

func killHost(_ context.Context, t *testing.T, l *load) {
	must(t, l.rig.Kill(HostName(0)))
	must(t, l.rig.Restart(HostName(0)))
}

func pauseHost(ctx context.Context, t *testing.T, l *load) {
	must(t, l.rig.Signal(HostName(1), syscall.SIGSTOP))
	resume := time.After(lapse)
	l.change(ctx, "slots-south", 1, HostName(2), HostName(0))
	<-resume
	must(t, l.rig.Signal(HostName(1), syscall.SIGCONT))
	l.inForce(ctx, "slots-south", HostName(1))
}

func outage(ctx context.Context, t *testing.T, l *load) {
	must(t, l.rig.Signal("kv", syscall.SIGSTOP))
	until := time.After(lapse)
	l.answers(ctx, "during the outage")
	<-until
	must(t, l.rig.Signal("kv", syscall.SIGCONT))
}

func killEngine(_ context.Context, _ *testing.T, l *load) {
	l.restartEngine(EngineName(0))
}

func killEngines(_ context.Context, _ *testing.T, l *load) {
	for i := range l.rig.Engines {
		l.restartEngine(EngineName(i))
	}
}

// restartEngine kills an engine and keeps what it had recorded until a moment before.
func (l *load) restartEngine(name string) {
	l.t.Helper()
	l.past = append(l.past, l.record(name))
	must(l.t, l.rig.Kill(name))
	must(l.t, l.rig.Restart(name))
}

func leaveEngine(ctx context.Context, t *testing.T, l *load) {
	name := l.busy(ctx)
	list := svcreg.List{Cursor: 1, Hosts: []svcreg.Host{}, Upstreams: []svcreg.Upstream{{Name: name, Leaving: true}}}
	body, err := json.Marshal(list)
	must(t, err)
	if _, err := l.rig.Post(ctx, "list", "/v1/list", string(body), nil); err != nil {
		t.Fatal(err)
	}
	time.Sleep(departs)
	before := len(l.record(name).Attempts)
	l.answers(ctx, "after an engine left")
	l.awaitWhole(ctx, callsAfterLeaving)
	if late := l.record(name).Attempts[before:]; len(late) > 0 {
		t.Errorf("%s got %d calls later than %s after it began to leave: %+v", name, len(late), departs, late)
	}
}

// awaitWhole waits for so many more whole answers.
func (l *load) awaitWhole(ctx context.Context, more int) {
	l.t.Helper()
	whole := func() int {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.whole
	}
	until := whole() + more
	must(l.t, l.rig.await(ctx, func() bool { return whole() >= until }))
}

// busy waits for an engine that gets calls; one without work would also get none when its departure is ignored.
func (l *load) busy(ctx context.Context) string {
	l.t.Helper()
	const calls = 10
	before := make(map[string]int)
	for i := range l.rig.Engines {
		before[EngineName(i)] = len(l.record(EngineName(i)).Attempts)
	}
	var found string
	must(l.t, l.rig.await(ctx, func() bool {
		for name, n := range before {
			if len(l.record(name).Attempts) >= n+calls {
				found = name
			}
		}
		return found != ""
	}))
	return found
}

func plannedStop(ctx context.Context, t *testing.T, l *load) {
	const streams, tokens = 4, 400
	host := HostName(2)
	started, done := make(chan struct{}, streams), make(chan error, streams)
	for i := range streams {
		go func() { done <- l.longStream(ctx, host, fmt.Sprint("long story ", i), tokens, started) }()
	}
	for range streams {
		<-started
	}
	l.set(&l.stopping, host)
	must(t, l.rig.Signal(host, syscall.SIGTERM))
	for range streams {
		if err := <-done; err != nil {
			t.Errorf("planned stop cut a stream: %v", err)
		}
	}
	// Callers that asked for addresses again use other hosts; until now they came to the stopping one as well.
	l.set(&l.left, host)
	if err := l.rig.Wait(ctx, host); err != nil {
		t.Errorf("planned stop ended with %v", err)
	}
}
