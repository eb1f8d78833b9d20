package serve

import (
	"context"
	"sync"

	"github.com/figreel/figreel/internal/ctrl"
	"github.com/figreel/figreel/internal/pmgr"
	"github.com/figreel/figreel/internal/ticket"
	"github.com/figreel/figreel/internal/wire"
	"github.com/figreel/figreel/pkg/envdoc"
)

type (
	// pools holds this host's duties for every pool of the document.
	pools struct {
		make func(pool string) *pmgr.Manager

		mu     sync.Mutex
		byName map[string]*running
		wg     sync.WaitGroup
		closed bool // no duty starts any more
	}

	running struct {
		duty *pmgr.Manager
		end  context.CancelFunc
	}
)

// apply starts duties for the pools that are new in a document, configures all and returns the names of the new ones.
func (p *pools) apply(ctx context.Context, doc *envdoc.Doc) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byName == nil {
		p.byName = make(map[string]*running)
	}
	var added []string
	for _, pool := range doc.Pools {
		if p.byName[pool.Name] == nil {
			p.byName[pool.Name] = p.start(ctx, pool.Name)
			added = append(added, pool.Name)
		}
		d := p.byName[pool.Name].duty
		d.Loop.Post(func() { d.Configure(doc) })
	}
	return added
}

// retire ends the duties of pools that a document in force no longer names.
func (p *pools) retire(doc *envdoc.Doc) {
	p.mu.Lock()
	defer p.mu.Unlock()
	named := make(map[string]bool, len(doc.Pools))
	for _, pool := range doc.Pools {
		named[pool.Name] = true
	}
	for name, r := range p.byName {
		if !named[name] {
			r.end()
			delete(p.byName, name)
		}
	}
}

func (p *pools) start(ctx context.Context, name string) *running {
	ctx, end := context.WithCancel(ctx)
	d := p.make(name)
	d.Init()
	if !p.closed {
		p.wg.Go(func() { d.Run(ctx) })
	}
	return &running{duty: d, end: end}
}

// get returns the duty for a pool, or nil.
func (p *pools) get(name string) *pmgr.Manager {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r := p.byName[name]; r != nil {
		return r.duty
	}
	return nil
}

// all returns every duty.
func (p *pools) all() []*pmgr.Manager {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.allLocked()
}

func (p *pools) allLocked() []*pmgr.Manager {
	out := make([]*pmgr.Manager, 0, len(p.byName))
	for _, r := range p.byName {
		out = append(out, r.duty)
	}
	return out
}

// waiting returns the pools that this host does not own but has waiting calls for.
func (p *pools) waiting(loop *ctrl.Loop) []string {
	var names []string
	duties := p.all()
	loop.Call(func() {
		for _, d := range duties {
			if calls, _ := d.Runner().Counts(); calls > 0 && !d.Owned() {
				names = append(names, d.Pool)
			}
		}
	})
	return names
}

// owned returns the runner of a pool that this host dispatches, or nil.
func (p *pools) owned(name string) *ticket.Runner {
	d := p.get(name)
	if d == nil || !d.Owned() {
		return nil
	}
	return d.Runner()
}

// runner returns this host's own runner for a pool. A call that names a pool which was removed meanwhile gets an empty
// runner, which refuses it as not run.
func (p *pools) runner(name string) *ticket.Runner {
	if d := p.get(name); d != nil {
		return d.Runner()
	}
	d := p.make(name)
	d.Init()
	return d.Runner()
}

// wait returns once every duty has ended, which it does with the context given to apply.
func (p *pools) wait() { p.wg.Wait() }

// release hands the leases of all pools over; pools that are applied later get a runner but no campaign.
func (p *pools) release(ctx context.Context) {
	p.mu.Lock()
	p.closed = true
	campaigns := p.allLocked()
	p.mu.Unlock()
	var wg sync.WaitGroup
	for _, d := range campaigns {
		wg.Go(func() { d.Release(ctx) })
	}
	wg.Wait()
}

// heard passes on the news of an owner.
func (p *pools) heard(o wire.Owner) {
	if d := p.get(o.Pool); d != nil {
		d.ObserveOwner(o)
	}
}
