package ledger

import (
	"encoding/json"
	"sort"
	"time"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/engine"
)

const (
	// Loading is a wanted item that no report has shown to answer since its last load order.
	Loading State = "loading"
	// Resident is a wanted item that the last report showed to answer.
	Resident State = "resident"
	// Unloading is an unwanted item that may occupy memory or may still be loaded by a late order.
	Unloading State = "unloading"
	// Gone is an item without memory; it is kept while an old order for it can still arrive.
	Gone State = "gone"
)

var (
	// ErrNoMemory means that the reservations leave too little memory.
	ErrNoMemory = errors.New("not enough unreserved memory on the engine")
	// ErrBusy means that another order to the engine has no outcome yet.
	ErrBusy = errors.New("another order to the engine has no outcome yet")
	// ErrNoReport means that no report of the engine has been read since the takeover.
	ErrNoReport = errors.New("no report of the engine since the takeover")
	// ErrItemState means that the order does not fit the state of the item.
	ErrItemState = errors.New("order does not fit the state of the item")
)

type (
	// State summarises an item.
	State string

	// Rules are the document's settings for the engine.
	Rules struct {
		CapacityMB    int
		MaxOrderDelay time.Duration
		ChecksFencing bool
	}

	// Item is one model, adapter or role that occupies memory or that an order in doubt may bring back.
	Item struct {
		Name     string `json:"name"`
		Model    string `json:"model,omitempty"`
		Adapter  bool   `json:"adapter,omitempty"`
		Role     bool   `json:"role,omitempty"`
		MemoryMB int    `json:"memory_mb"`
		Desired  bool   `json:"want,omitempty"`
		// Gone is true once no load that was sent can add the item any more and a report showed it absent.
		Gone bool `json:"gone,omitempty"`
		// Reported is the state in the last report, empty when it was absent.
		Reported engine.ItemState `json:"present,omitempty"`
		OrderID  string           `json:"order_id,omitempty"`
		// LoadFence and UnloadFence are the highest numbers of orders that may have been sent; 0 when none is in doubt.
		LoadFence   int64 `json:"load_fence,omitempty"`
		UnloadFence int64 `json:"unload_fence,omitempty"`
		// LoadSent and UnloadSent are not before the last sending of such an order, by the owner's clock.
		LoadSent   time.Time `json:"-"`
		UnloadSent time.Time `json:"-"`
		// OrderEnded is when the outcome of the last order was known or given up; only later reports settle it.
		OrderEnded time.Time `json:"-"`
		Confirmed  bool      `json:"settled,omitempty"`
		// Attempts counts the orders sent since the item was last settled.
		Attempts int `json:"-"`
	}

	// InDoubtOrder is an order whose effect may still come.
	InDoubtOrder struct {
		Engine  string    `json:"engine"`
		Item    string    `json:"item"`
		Unload  bool      `json:"unload"`
		OrderID string    `json:"order_id"`
		Fence   int64     `json:"fence"`
		Since   time.Time `json:"since"`
	}

	// Ledger is the record of one engine; only its owner changes it, and it is stored before an order is sent.
	Ledger struct {
		Engine string `json:"engine"`
		// Pool is the pool whose owner wrote the record; epochs of different pools do not compare.
		Pool    string `json:"pool"`
		WriteID string `json:"write_id"`
		Epoch   int64  `json:"epoch"`
		Fence   int64  `json:"fence"`
		BootID  string `json:"boot_id,omitempty"`
		Seq     int64  `json:"seq,omitempty"`
		// Acked is the highest number that the engine is known to have accepted.
		Acked     int64  `json:"acked,omitempty"`
		AckedBoot string `json:"acked_boot,omitempty"`
		// FenceLost is true once the engine's number has fallen in a restart.
		FenceLost bool   `json:"forgets,omitempty"`
		Items     []Item `json:"items"`

		Rules Rules `json:"-"`

		flying   string
		ackedAt  time.Time
		reported time.Time
		seen     bool
		totalMB  int
		dirty    bool
	}
)

// Decode reads a stored ledger; the caller sets Rules and takes it over before any order.
func Decode(b []byte) (*Ledger, error) {
	l := new(Ledger)
	if err := json.Unmarshal(b, l); err != nil {
		return nil, errors.Wrap(err, "decode ledger")
	}
	return l, nil
}

// Encode returns the stored form and marks the ledger as unchanged.
func (l *Ledger) Encode() ([]byte, error) {
	l.dirty = false
	b, err := json.Marshal(l)
	return b, errors.Wrap(err, "encode ledger")
}

// State returns the summary of the item's fields.
func (it *Item) State() State {
	switch {
	case it.Gone:
		return Gone
	case !it.Desired:
		return Unloading
	case it.Reported == engine.Resident && it.Confirmed:
		return Resident
	}
	return Loading
}

// Item returns the named item, or nil; the pointer is valid until the next change.
func (l *Ledger) Item(name string) *Item {
	i := l.index(name)
	if i < len(l.Items) && l.Items[i].Name == name {
		return &l.Items[i]
	}
	return nil
}

// ReservedMB returns the memory that is or may become occupied; only a report lowers it, never time alone.
func (l *Ledger) ReservedMB() int {
	sum := 0
	for i := range l.Items {
		if !l.Items[i].Gone {
			sum += l.Items[i].MemoryMB
		}
	}
	return sum
}

// CapacityMB returns the usable memory: the document's figure, or the engine's own total if that is smaller.
func (l *Ledger) CapacityMB() int {
	if l.totalMB > 0 {
		return min(l.Rules.CapacityMB, l.totalMB)
	}
	return l.Rules.CapacityMB
}

// FreeMB returns the memory that a new load may take; it is negative after adoption of too many unknown items.
func (l *Ledger) FreeMB() int { return l.CapacityMB() - l.ReservedMB() }

// HasReport reports whether a report has been read since the takeover.
func (l *Ledger) HasReport() bool { return l.seen }

// Dirty reports whether a report changed the state of an item since the last Encode.
func (l *Ledger) Dirty() bool { return l.dirty }

// Busy reports whether an order has been begun and has no outcome yet.
func (l *Ledger) Busy() bool { return l.flying != "" }

// Fencing reports whether old orders are void once the engine has accepted a higher number.
func (l *Ledger) Fencing() bool { return l.Rules.ChecksFencing && !l.FenceLost }

// Stable reports whether the item answers and no old unload can remove it any more.
func (l *Ledger) Stable(name string) bool {
	it := l.Item(name)
	return it != nil && it.State() == Resident && it.UnloadFence == 0
}

// InDoubt returns the orders whose effect may still come, in item order.
func (l *Ledger) InDoubt() []InDoubtOrder {
	var out []InDoubtOrder
	for i := range l.Items {
		it := &l.Items[i]
		if it.LoadFence > 0 && !it.Gone && it.State() != Resident {
			out = append(out, l.doubt(it, false, it.LoadFence, it.LoadSent))
		}
		if it.UnloadFence > 0 && !it.Gone {
			out = append(out, l.doubt(it, true, it.UnloadFence, it.UnloadSent))
		}
	}
	return out
}

func (l *Ledger) doubt(it *Item, unload bool, fence int64, since time.Time) InDoubtOrder {
	return InDoubtOrder{
		Engine: l.Engine, Item: it.Name, Unload: unload, OrderID: it.OrderID, Fence: fence, Since: since,
	}
}

func (l *Ledger) index(name string) int {
	return sort.Search(len(l.Items), func(i int) bool { return l.Items[i].Name >= name })
}

func (l *Ledger) put(it Item) *Item {
	i := l.index(it.Name)
	l.Items = append(l.Items, Item{})
	copy(l.Items[i+1:], l.Items[i:])
	l.Items[i] = it
	return &l.Items[i]
}
