package host

import (
	"context"
	"slices"
	"time"

	"github.com/figreel/figreel/internal/entry"
	"github.com/figreel/figreel/internal/ingres"
	"github.com/figreel/figreel/internal/store"
	"github.com/figreel/figreel/internal/topo"
)

type (
	// Settings are the settings of one host.
	Settings struct {
		Name          string
		Domain        string   // failure domain
		Front         string   // address for callers
		ReadyAddr     string   // address of the readiness endpoint for the platform
		DirectoryAddr string   // address of the endpoint that lists host addresses for callers
		Link          string   // address for other hosts
		Seeds         []string // addresses of some other hosts, used before any host is known
		HasRun        bool     // the system has run before this host started
		StoreAddr     string
		StoreWrites   float64       // writes a second that the store allows all hosts together; 0 if it is unknown
		MetricsAddr   string        // address of the metrics endpoint
		Grace         time.Duration // from the stop signal until the process is killed
		DrainTime     time.Duration // from the departure of an upstream until it must get no more calls
		RetryRatio    float64       // retries allowed per call
		RetryWindow   time.Duration
		RetrySlack    float64       // retries allowed in each window on top of the ratio
		HedgeShare    float64       // share of calls that may get a second attempt beside a slow one; 0 is none
		HandoverDelay time.Duration // minimum time between orders of two different leaders
		AddressTTL    time.Duration // maximum time for which callers may cache addresses
		Cores         float64       // processor time that the host may use, in cores; 0 if it is unknown
		Memory        int64         // memory that the process may use, in bytes; 0 if it is unknown
		Descriptors   int           // files that the process may open; 0 for the limit of the process
		// RevokeTime is the time from a change of the configuration that removes a key until no call that was sent with
		// it may be executed, also by hosts that the change has not reached; 0 if only the others are bound.
		RevokeTime time.Duration
		Quota      QuotaBounds
	}

	// QuotaBounds is by how much the calls of a workspace may exceed its quota in any window: Overage is a share of
	// the quota, Slack counts in its units.
	QuotaBounds struct {
		Window  time.Duration
		Overage float64
		Slack   float64
	}

	// Platform gives access to the platform and decodes its data; all fields are set before use.
	Platform struct {
		Store          store.Store
		ConfigPrefix   string
		UpstreamPrefix string
		// Config decodes an item below ConfigPrefix; it returns nil for an item that is not a configuration.
		Config func(store.Item) (*topo.Config, error)
		// Upstream decodes an item below UpstreamPrefix.
		Upstream  func(store.Item) (*topo.Upstream, error)
		Engines   EngineClient
		Headers   entry.Headers
		ParseSpec entry.ParseSpec
		ParseLoad entry.ParseLoad
		// ParseNotice parses what upstreams state in their responses about the calls that they take.
		ParseNotice entry.ParseNotice
		// StartCheck returns the check that a connection leads to an instance; nil if there is none.
		StartCheck entry.StartCheck
		// Serve serves the readiness endpoint and the address directory until ctx ends.
		Serve func(ctx context.Context, endpoints Endpoints) error
	}

	// Endpoints holds the addresses and the functions of the readiness endpoint and the address directory.
	Endpoints struct {
		ReadyAddr     string
		DirectoryAddr string
		Gate          *ingres.Gate // limits of their connections
		Ready         func() bool
		// Addresses returns the addresses for callers of a failure domain, and for how long they may cache them.
		Addresses func(domain string) ([]string, time.Duration)
	}

	// EngineClient fetches status reports from engines and sends orders to them; it never repeats an order.
	EngineClient interface {
		Report(ctx context.Context, u *topo.Upstream) (*topo.Report, topo.Notice, error)
		Order(ctx context.Context, u *topo.Upstream, o *topo.Order) (topo.OrderResult, topo.Notice, error)
	}
)

// waitsForSeeds reports whether the host asks its seeds for the state of the store when it starts. A seed does not: it
// must know the state when the others ask.
func (s *Settings) waitsForSeeds() bool { return len(s.Seeds) > 0 && !slices.Contains(s.Seeds, s.Link) }
