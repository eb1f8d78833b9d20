package host

import (
	"context"
	"time"

	"github.com/figreel/figreel/internal/entry"
	"github.com/figreel/figreel/internal/store"
	"github.com/figreel/figreel/internal/topo"
)

type (
	// Settings are those of one host.
	Settings struct {
		Name          string
		Domain        string   // failure domain
		Front         string   // where callers connect
		ReadyAddr     string   // where the platform asks whether the host is ready
		DirectoryAddr string   // where callers ask for addresses
		Link          string   // where other hosts connect
		Seeds         []string // where some other hosts may be reached
		StoreAddr     string
		MetricsAddr   string        // where counters are served
		Grace         time.Duration // between the signal to stop and the end of the process
		RetryRatio    float64       // further attempts as a part of the calls
		RetryWindow   time.Duration
		RetrySlack    float64       // further attempts that are free within the window
		HandoverDelay time.Duration // between orders of different hosts
		AddressTTL    time.Duration // for which callers may keep addresses at most
	}

	// Platform translates what the platform says; all fields are set before use.
	Platform struct {
		Store          store.Store
		ConfigPrefix   string
		UpstreamPrefix string
		// Config decodes an item below ConfigPrefix; nil means that the item is something else.
		Config func(store.Item) (*topo.Config, error)
		// Upstream decodes an item below UpstreamPrefix.
		Upstream  func(store.Item) (*topo.Upstream, error)
		Engines   EngineClient
		Headers   entry.Headers
		ParseSpec entry.ParseSpec
		// Serve answers the platform's questions about this host until ctx ends.
		Serve func(ctx context.Context, questions Endpoints) error
	}

	// Endpoints are what the platform and callers may ask a host.
	Endpoints struct {
		ReadyAddr     string
		DirectoryAddr string
		Ready         func() bool
		// Addresses returns where callers of a failure domain may connect, and for how long they may keep the answer.
		Addresses func(domain string) ([]string, time.Duration)
	}

	// EngineClient sends reports and orders; an order is sent once at most.
	EngineClient interface {
		Report(ctx context.Context, u *topo.Upstream) (*topo.Report, error)
		Order(ctx context.Context, u *topo.Upstream, o *topo.Order) (topo.OrderResult, error)
	}
)
