package quota

import (
	"time"

	"github.com/figreel/figreel/internal/topo"
)

const (
	// The room that the bound leaves beyond rate and burst is divided: reserves of hosts without a leader may use
	// reserveRoom of it in any window, calls larger than an account of such a host debtRoom, and plain calls that the
	// leader does not know of yet plainRoom. The rest covers hosts that disagree on the number of hosts.
	reserveRoom = 0.25
	debtRoom    = 0.375
	plainRoom   = 0.25
	// slackRates bounds the slack that is used, as a multiple of the rate. A process that starts has a full reserve and
	// may owe again, and waits for lendTime before it has its part of the rate. So with this bound what restarts add is
	// less than what they leave unused.
	slackRates = 4.0
	// oversizeRoom is the share of the room that one call larger than the burst may take at the leader.
	oversizeRoom = 0.125
	// plentyShare is the share of what is left of an account that is not scarce, and of plainRoom, that the plain
	// calls of one host may use without an acknowledgement. It allows for clients that all use the same host.
	plentyShare = 0.25
	// smallReport is the share of that limit up to which charges are not urgent and are acknowledged only with the next
	// stamp.
	smallReport = 0.125
	// scarceBurst is the share of the burst below which an account is scarce.
	scarceBurst = 0.25
	// defaultWindow is the window if the settings name none.
	defaultWindow = 8 * time.Second
)

// Bounds is by how much the calls of a workspace may exceed its quota in any window: Overage is a share of the quota,
// Slack counts in its units.
type Bounds struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

func (b *Bounds) window() time.Duration {
	if b.Window <= 0 {
		return defaultWindow
	}
	return b.Window
}

// room returns the units beyond rate and burst that the bound allows in any window.
func (b *Bounds) room(q *topo.Quota) float64 {
	return b.Overage*(q.Rate*b.window().Seconds()+q.Burst) + min(b.Slack, slackRates*q.Rate)
}

// reserve returns the capacity of the reserve of one of so many hosts. A reserve that is full at the start of a window
// and is refilled during it yields twice its capacity.
func (b *Bounds) reserve(q *topo.Quota, hosts float64) float64 {
	return reserveRoom / 2 * b.room(q) / hosts
}

// debtors returns the number of hosts on which a call of this cost may take an account below zero.
func (b *Bounds) debtors(q *topo.Quota, cost float64) int { return int(debtRoom * b.room(q) / cost) }
