package native

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/figreel/figreel/internal/clock"
	"github.com/figreel/figreel/internal/link"
	"github.com/figreel/figreel/internal/site"
	"github.com/figreel/figreel/internal/stats"
)

const (
	// sources is how many watching hosts each host listens to, in different failure domains where there are several.
	sources = 2
	// holdTime is how long a host keeps a question for news that it has no answer to.
	holdTime = 2 * time.Second
	// answerTime is how much longer the answer may take.
	answerTime = 400 * time.Millisecond
	// sourcePause is the pause before a lost source is tried again.
	sourcePause = 250 * time.Millisecond
	// urgentEvery is how often any host is asked for news while the store does not answer this one.
	urgentEvery = 300 * time.Millisecond
)

var errSourceFails = errors.New("the source has lost the store")

// relay spreads what the store tells: one host of each failure domain watches the store, the others listen to two of
// these. A host without a source that reaches the store watches itself.
type relay struct {
	self  site.Host
	view  *view
	stats *stats.Set
	log   zerolog.Logger

	mu    sync.Mutex
	heard map[string]bool // sources that answer and have the store
}

// direct reports whether this host watches the store itself.
func (r *relay) direct() bool {
	if _, watching := r.sources(); watching {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.heard) == 0
}

// sources returns the hosts to listen to, and whether this host is one that watches.
func (r *relay) sources() ([]site.Host, bool) {
	hosts := r.view.Hosts()
	slices.SortFunc(hosts, func(a, b site.Host) int {
		return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Name, b.Name))
	})
	var first []site.Host
	own := 0
	watching := false
	for i, o := range hosts {
		if i > 0 && hosts[i-1].Domain == o.Domain {
			continue
		}
		if o.Domain == r.self.Domain {
			own = len(first)
			watching = o.Name == r.self.Name
		}
		first = append(first, o)
	}
	out := make([]site.Host, 0, sources)
	for i := range first {
		o := first[(own+i)%len(first)]
		if o.Name != r.self.Name && len(out) < sources {
			out = append(out, o)
		}
	}
	return out, watching
}

// run listens to the sources until ctx ends.
func (r *relay) run(ctx context.Context) {
	r.heard = make(map[string]bool)
	listening := make(map[string]context.CancelFunc)
	urgent := time.Time{}
	for turn := 0; clock.Sleep(ctx, roleEvery); turn++ {
		r.view.expire(time.Now())
		list, _ := r.sources()
		wanted := make(map[string]bool, len(list))
		for _, o := range list {
			wanted[o.Link] = true
			if listening[o.Link] == nil {
				one, cancel := context.WithCancel(ctx)
				listening[o.Link] = cancel
				go r.listen(one, o)
			}
		}
		for addr, cancel := range listening {
			if !wanted[addr] {
				cancel()
				delete(listening, addr)
			}
		}
		if r.view.failing() && time.Since(urgent) > urgentEvery {
			urgent = time.Now()
			r.askAny(ctx, turn)
		}
	}
}

// listen takes over the news of one source until ctx ends.
func (r *relay) listen(ctx context.Context, o site.Host) {
	defer r.note(o, false)
	for ctx.Err() == nil {
		err := r.attend(ctx, o)
		r.note(o, false)
		if ctx.Err() == nil {
			r.log.Info().Err(err).Str("source", o.Name).Msg("source of news lost")
		}
		clock.Sleep(ctx, sourcePause)
	}
}

func (r *relay) attend(ctx context.Context, o site.Host) error {
	c, err := link.Dial(ctx, o.Link)
	if err != nil {
		return err
	}
	defer c.Close()
	for ctx.Err() == nil {
		if err := r.exchange(ctx, c, holdTime); err != nil {
			if errors.Is(err, errSourceFails) {
				r.note(o, false)
				clock.Sleep(ctx, sourcePause)
				continue
			}
			return err
		}
		r.note(o, true)
	}
	return ctx.Err()
}

// exchange asks once for news.
func (r *relay) exchange(ctx context.Context, c *link.Conn, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait+answerTime)
	defer cancel()
	m, err := c.Exchange(ctx, &link.Message{
		Kind: link.NewsOf, Host: r.self.Name, Lists: r.view.known(), WaitMS: wait.Milliseconds(),
	})
	if err != nil {
		return err
	}
	r.view.learn(m.Lists)
	if m.Failing {
		return errSourceFails
	}
	return nil
}

func (r *relay) note(o site.Host, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ok {
		r.heard[o.Link] = true
		return
	}
	delete(r.heard, o.Link)
}

// askAny asks one host after the other while this one has lost the store.
func (r *relay) askAny(ctx context.Context, turn int) {
	hosts := slices.DeleteFunc(r.view.Hosts(), func(o site.Host) bool { return o.Name == r.self.Name })
	if len(hosts) == 0 {
		return
	}
	o := hosts[turn%len(hosts)]
	go func() {
		c, err := link.Dial(ctx, o.Link)
		if err != nil {
			return
		}
		defer c.Close()
		if err := r.exchange(ctx, c, 0); err != nil {
			r.stats.Count("news_failed")
		}
	}()
}

// serve answers the questions of another host until its connection ends.
func (r *relay) serve(c *link.Conn, m *link.Message) {
	for m.Kind == link.NewsOf {
		answer := &link.Message{Kind: link.News, Lists: r.await(m), Failing: r.view.failing()}
		if err := c.Send(answer); err != nil {
			return
		}
		var err error
		if m, err = c.Receive(); err != nil {
			return
		}
	}
}

// await returns the news, or nothing when the question's time is over.
func (r *relay) await(m *link.Message) []link.List {
	until := time.NewTimer(min(time.Duration(m.WaitMS)*time.Millisecond, holdTime))
	defer until.Stop()
	for {
		lists, changed := r.view.changes(m.Lists)
		if len(lists) > 0 {
			return lists
		}
		select {
		case <-changed:
		case <-until.C:
			return nil
		}
	}
}
