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
	// maxApplyTime is the documented bound after which all hosts serve an accepted configuration.
	maxApplyTime = 12 * time.Second
	// maxDrainDelay is the time after which a leaving engine must get no more calls: 2 s registry staleness, and a few
	// seconds of margin.
	maxDrainDelay = 5 * time.Second
	// pauseTime is longer than a lease, so that a paused host loses its leases.
	pauseTime = 12 * time.Second
	// maxRecoveryTime is the time in which every model must complete a call again after a fault.
	maxRecoveryTime = 30 * time.Second
	workers         = 6
	// callsAfterLeaving is the number of completed calls, none of which may go to the leaving engine.
	callsAfterLeaving = 40
)

type (
	// loadTest sends calls through all hosts and records the responses, to compare them with the records of emulators.
	loadTest struct {
		t       *testing.T // the subtest that runs; goroutines that outlive it use recordFinding
		cluster *Cluster

		mu             sync.Mutex
		lastID         int
		notExecuted    map[string]string   // error code by request ID
		modelItems     map[string][]string // versions of each model that may respond
		pastRecords    []model.Record      // records of killed engines
		findings       []string            // wrong responses
		completed      int
		failures       int
		confirmedKeys  []string // idempotency keys of requests that succeeded
		unresolvedKeys []string // idempotency keys of requests without a success

		stoppingHost string // host in graceful shutdown, which must complete its calls
		stoppedHost  string // host that callers no longer use
	}

	// step causes one fault, or several at once, and checks the recovery.
	step struct {
		name   string
		inject func(context.Context, *testing.T, *loadTest)
	}

	errorResponse struct {
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

var initialItems = map[string][]string{"slots": {"slots@1"}, "contracts": {"contracts@1"}, "forms": {"forms@1"}}

// Guards against lost or doubled effects under single faults, with real processes under load: lost responses, kill -9
// of hosts and engines, a host paused for longer than its lease, a key-value outage, a leaving engine and a graceful
// shutdown. What callers got is compared with what the emulators recorded.
func TestProcesses(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	underLoad(ctx, t, &Cluster{Hosts: 3}, []step{
		{"lost answers of charges", loseServiceResponses},
		{"kill a host", killHost},
		{"pause a host past its lease and change the configuration", pauseHost},
		{"key-value service outage", storeOutage},
		{"kill an engine", killEngine},
		{"all engines lose their memory", killAllEngines},
		{"an engine leaves", announceLeaving},
		{"planned stop with long streams", gracefulShutdown},
	})
}

// underLoad starts a cluster, runs the steps one after the other while calls are sent, and checks the records.
func underLoad(ctx context.Context, t *testing.T, c *Cluster, steps []step) {
	t.Helper()
	c.Dir, c.Engines, c.Document = t.TempDir(), 4, SmallDocument
	source, err := filepath.Abs("../..")
	must(t, err)
	began := time.Now()
	must(t, c.Start(ctx, source))
	t.Cleanup(func() {
		exited := c.exited()
		c.Stop()
		logTails(t, c, exited)
	})
	ctx, stopWatch := c.Watch(ctx)
	t.Cleanup(stopWatch)
	_, err = c.Apply(ctx)
	must(t, err)
	must(t, c.AwaitReady(ctx, "slots", "contracts", "slots-north"))
	t.Logf("ready: %.1f s", time.Since(began).Seconds())

	l := &loadTest{t: t, cluster: c, notExecuted: make(map[string]string), modelItems: maps.Clone(initialItems)}
	loadCtx, stopLoad := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stopLoad()
	for i := range workers {
		wg.Go(func() { l.sendCalls(loadCtx, i) })
	}
	for i := range c.Hosts {
		wg.Go(func() { l.checkRevisionOrder(loadCtx, HostName(i)) })
	}
	for _, s := range steps {
		l.runStep(ctx, t, s)
	}
	l.t = t
	stopLoad()
	wg.Wait()
	l.retryUnresolved(ctx)
	l.checkRecords(ctx, t)
}

// runStep runs a step as a subtest. If the step ends early, it ends the test, because each step starts from what the
// steps before it have left.
func (l *loadTest) runStep(ctx context.Context, t *testing.T, s step) {
	t.Helper()
	began := time.Now()
	endedEarly := false
	t.Run(s.name, func(t *testing.T) {
		l.t = t
		endedEarly = true
		s.inject(ctx, t, l)
		l.checkAllModels(ctx, s.name)
		must(t, context.Cause(ctx))
		endedEarly = false
	})
	if endedEarly {
		t.FailNow()
	}
	t.Logf("%s: %.1f s", s.name, time.Since(began).Seconds())
}

// loseServiceResponses drops the responses to a non-idempotent request with an idempotency key and to one without. Both
// must fail with an unknown outcome and be executed once, even though the one with a key is sent again.
func loseServiceResponses(ctx context.Context, t *testing.T, l *loadTest) {
	for _, header := range []map[string]string{{"Idempotency-Key": "lost-1"}, {}} {
		body := "lost charge with " + fmt.Sprint(len(header)) + " keys"
		for _, name := range serviceUpstreams {
			l.injectFault(ctx, name, fault.Spec{Contains: body, DropResponse: true, Count: 1})
		}
		resp, err := l.cluster.Post(ctx, HostName(0), "/svc/deposits/charge", body, header)
		must(t, err)
		var f errorResponse
		if err := json.Unmarshal(resp.Body, &f); err != nil || f.Error.Outcome != "outcome_unknown" {
			t.Errorf("request whose response was lost: status %d, %s", resp.Status, resp.Body)
		}
		for _, name := range serviceUpstreams {
			l.injectFault(ctx, name, fault.Spec{})
		}
		if len(header) > 0 {
			_, err = l.cluster.Post(ctx, HostName(1), "/svc/deposits/charge", body, header)
			must(t, err)
		}
		n := 0
		for _, execution := range l.serviceExecutions(ctx) {
			if execution.Body == body {
				n++
			}
		}
		if n != 1 {
			t.Errorf("%s was executed %d times", body, n)
		}
	}
}

func killHost(_ context.Context, t *testing.T, l *loadTest) {
	must(t, l.cluster.Kill(HostName(0)))
	must(t, l.cluster.Restart(HostName(0)))
}

// pauseHost pauses a host for longer than its lease while a change is applied; the host must serve the change once it
// resumes.
func pauseHost(ctx context.Context, t *testing.T, l *loadTest) {
	must(t, l.cluster.Signal(HostName(1), syscall.SIGSTOP))
	resume := time.After(pauseTime)
	l.addAdapter(ctx, "slots-south", 1, HostName(2), HostName(0))
	<-resume
	must(t, l.cluster.Signal(HostName(1), syscall.SIGCONT))
	l.checkServed(ctx, "slots-south", HostName(1))
}

// storeOutage pauses the key-value service for longer than a lease; calls must still be completed.
func storeOutage(ctx context.Context, t *testing.T, l *loadTest) {
	must(t, l.cluster.Signal("kv", syscall.SIGSTOP))
	until := time.After(pauseTime)
	l.checkAllModels(ctx, "during the outage")
	<-until
	must(t, l.cluster.Signal("kv", syscall.SIGCONT))
}

func killEngine(_ context.Context, _ *testing.T, l *loadTest) {
	l.killAndRestartEngine(EngineName(0))
}

func killAllEngines(_ context.Context, _ *testing.T, l *loadTest) {
	for i := range l.cluster.Engines {
		l.killAndRestartEngine(EngineName(i))
	}
}

// killAndRestartEngine kills an engine and keeps its record, which is read just before and lost by the restart.
func (l *loadTest) killAndRestartEngine(name string) {
	l.t.Helper()
	l.pastRecords = append(l.pastRecords, l.engineRecord(name))
	must(l.t, l.cluster.Kill(name))
	must(l.t, l.cluster.Restart(name))
}

// announceLeaving marks a busy engine as leaving in the service registry; calls must then go to other engines.
func announceLeaving(ctx context.Context, t *testing.T, l *loadTest) {
	name := l.waitForBusyEngine(ctx)
	list := svcreg.List{Cursor: 1, Hosts: []svcreg.Host{}, Upstreams: []svcreg.Upstream{{Name: name, Leaving: true}}}
	body, err := json.Marshal(list)
	must(t, err)
	if _, err := l.cluster.Post(ctx, "list", "/v1/list", string(body), nil); err != nil {
		t.Fatal(err)
	}
	time.Sleep(maxDrainDelay)
	before := len(l.engineRecord(name).Attempts)
	l.checkAllModels(ctx, "after an engine left")
	l.waitForCompleted(ctx, callsAfterLeaving)
	if late := l.engineRecord(name).Attempts[before:]; len(late) > 0 {
		t.Errorf("%s got %d calls more than %s after it was marked as leaving: %+v",
			name, len(late), maxDrainDelay, late)
	}
}

// waitForCompleted waits until the number of complete responses has grown by the given number.
func (l *loadTest) waitForCompleted(ctx context.Context, more int) {
	l.t.Helper()
	completed := func() int {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.completed
	}
	target := completed() + more
	must(l.t, l.cluster.waitUntil(ctx, func() bool { return completed() >= target }))
}

// waitForBusyEngine waits for an engine that has received 10 further calls, and returns its name. An idle engine would
// get no calls either if the hosts ignored that it is leaving.
func (l *loadTest) waitForBusyEngine(ctx context.Context) string {
	l.t.Helper()
	const calls = 10
	before := make(map[string]int)
	for i := range l.cluster.Engines {
		before[EngineName(i)] = len(l.engineRecord(EngineName(i)).Attempts)
	}
	var busy string
	must(l.t, l.cluster.waitUntil(ctx, func() bool {
		for name, n := range before {
			if len(l.engineRecord(name).Attempts) >= n+calls {
				busy = name
			}
		}
		return busy != ""
	}))
	return busy
}

// gracefulShutdown sends SIGTERM to a host while it relays long streams, which it must complete before it exits.
func gracefulShutdown(ctx context.Context, t *testing.T, l *loadTest) {
	const streams, tokens = 4, 400
	host := HostName(2)
	started, done := make(chan struct{}, streams), make(chan error, streams)
	for i := range streams {
		go func() { done <- l.readLongStream(ctx, host, fmt.Sprint("long story ", i), tokens, started) }()
	}
	for range streams {
		<-started
	}
	l.setHost(&l.stoppingHost, host)
	must(t, l.cluster.Signal(host, syscall.SIGTERM))
	for range streams {
		if err := <-done; err != nil {
			t.Errorf("graceful shutdown interrupted a stream: %v", err)
		}
	}
	// From here on, callers no longer use the stopping host, as if they had looked up the addresses again.
	l.setHost(&l.stoppedHost, host)
	if err := l.cluster.Wait(ctx, host); err != nil {
		t.Errorf("graceful shutdown exited with %v", err)
	}
}
