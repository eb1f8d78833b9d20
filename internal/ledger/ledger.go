package ledger

import (
	"encoding/json"
	"sort"
	"time"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/engine"
)

const (
	// Loading is a desired item that no report has shown resident since its last load order.
	Loading State = "loading"
	// Resident is a desired item that the last report showed resident.
	Resident State = "resident"
	// Unloading is an item that is no longer desired but may occupy memory or may still be loaded by a late order.
	Unloading State = "unloading"
	// Gone is an item that occupies no memory; it is kept while an old order for it can still arrive.
	Gone State = "gone"
)

var (
	// ErrNoMemory means that the engine has too little unreserved memory for the order.
	ErrNoMemory = errors.New("not enough unreserved memory on the engine")
	// ErrBusy means that another order to the engine is in flight.
	ErrBusy = errors.New("another order to the engine has no outcome yet")
	// ErrNoReport means that no report of the engine has been applied since the takeover.
	ErrNoReport = errors.New("no report of the engine since the takeover")
	// ErrItemState means that the state of the item does not allow the order.
	ErrItemState = errors.New("state of the item does not allow the order")
)

type (
	// State summarizes the fields of an Item.
	State string

	// Rules holds the document's settings for the engine.
	Rules struct {
		CapacityMB    int
		MaxOrderDelay time.Duration
		ChecksFencing bool
	}

	// Item is a model, adapter or role that occupies memory, or that an order in doubt may still load.
	Item struct {
		Name     string `json:"name"`
		Model    string `json:"model,omitempty"`
		Adapter  bool   `json:"adapter,omitempty"`
		Role     bool   `json:"role,omitempty"`
		MemoryMB int    `json:"memory_mb"`
		Desired  bool   `json:"want,omitempty"`
		// Gone is true once a report showed the item absent and no load order that was sent can still take effect.
		Gone bool `json:"gone,omitempty"`
		// Reported is the state in the last report, empty if the item was absent.
		Reported engine.ItemState `json:"present,omitempty"`
		OrderID  string           `json:"order_id,omitempty"`
		// LoadFence and UnloadFence are the highest fencing tokens of load and unload orders that may have been sent;
		// 0 if none is in doubt.
		LoadFence   int64 `json:"load_fence,omitempty"`
		UnloadFence int64 `json:"unload_fence,omitempty"`
		// LoadSent and UnloadSent are at or after the time at which such an order was last sent, by the owner's clock.
		LoadSent   time.Time `json:"-"`
		UnloadSent time.Time `json:"-"`
		// OrderEnded is when the outcome of the last order became known or the wait for it ended; only reports that are
		// requested later confirm the item.
		OrderEnded time.Time `json:"-"`
		// Confirmed is true if a report requested after the last order shows the state that the ledger desires.
		Confirmed bool `json:"settled,omitempty"`
		// Attempts counts the orders since the item was last confirmed.
		Attempts int `json:"-"`
	}

	// InDoubtOrder is an order that may still take effect.
	InDoubtOrder struct {
		Engine  string    `json:"engine"`
		Item    string    `json:"item"`
		Unload  bool      `json:"unload"`
		OrderID string    `json:"order_id"`
		Fence   int64     `json:"fence"`
		Since   time.Time `json:"since"`
	}

	// Ledger is the record of one engine. Only the owner of its pool changes it, and stores it before an order is sent.
	Ledger struct {
		Engine string `json:"engine"`
		// Pool is the pool whose owner wrote the record; epochs of different pools cannot be compared.
		Pool    string `json:"pool"`
		WriteID string `json:"write_id"`
		Epoch   int64  `json:"epoch"`
		Fence   int64  `json:"fence"`
		BootID  string `json:"boot_id,omitempty"`
		Seq     int64  `json:"seq,omitempty"`
		// Acked is the highest fencing token that the engine is known to have accepted, AckedBoot its boot id at that
		// time.
		Acked     int64  `json:"acked,omitempty"`
		AckedBoot string `json:"acked_boot,omitempty"`
		// FenceLost is true once the engine's fencing token has fallen in a restart.
		FenceLost bool   `json:"forgets,omitempty"`
		Items     []Item `json:"items"`

		Rules Rules `json:"-"`

		// inFlight is the id of the order without an outcome, or empty.
		inFlight string
		ackedAt  time.Time
		// reportStarted is when the last applied report was requested.
		reportStarted time.Time
		hasReport     bool
		totalMB       int
		dirty         bool
	}
)

// Decode reads a stored ledger. The caller sets Rules and calls Takeover before any order.
func Decode(b []byte) (*Ledger, error) {
	l := new(Ledger)
	if err := json.Unmarshal(b, l); err != nil {
		return nil, errors.Wrap(err, "decode ledger")
	}
	return l, nil
}

// Encode returns the stored form and resets Dirty.
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

// ReservedMB returns the memory that is or may become occupied. Only a report lowers it, never the passing of time
// alone.
func (l *Ledger) ReservedMB() int {
	sum := 0
	for i := range l.Items {
		if !l.Items[i].Gone {
			sum += l.Items[i].MemoryMB
		}
	}
	return sum
}

// CapacityMB returns the usable memory: the document's value, or the total that the engine reports if that is smaller.
func (l *Ledger) CapacityMB() int {
	if l.totalMB > 0 {
		return min(l.Rules.CapacityMB, l.totalMB)
	}
	return l.Rules.CapacityMB
}

// FreeMB returns the memory that a new load may take. It is negative if reports added unknown items beyond the
// capacity.
func (l *Ledger) FreeMB() int { return l.CapacityMB() - l.ReservedMB() }

// HasReport reports whether a report has been applied since the takeover.
func (l *Ledger) HasReport() bool { return l.hasReport }

// Dirty reports whether a report changed the state of an item since the last Encode.
func (l *Ledger) Dirty() bool { return l.dirty }

// Busy reports whether an order is in flight: begun, and without an outcome yet.
func (l *Ledger) Busy() bool { return l.inFlight != "" }

// Fencing reports whether the engine rejects old orders once it has accepted a higher fencing token.
func (l *Ledger) Fencing() bool { return l.Rules.ChecksFencing && !l.FenceLost }

// Stable reports whether the item is resident and no old unload order can still remove it.
func (l *Ledger) Stable(name string) bool {
	it := l.Item(name)
	return it != nil && it.State() == Resident && it.UnloadFence == 0
}

// InDoubt returns the orders that may still take effect, sorted by item.
func (l *Ledger) InDoubt() []InDoubtOrder {
	var out []InDoubtOrder
	for i := range l.Items {
		it := &l.Items[i]
		if it.LoadFence > 0 && !it.Gone && it.State() != Resident {
			out = append(out, l.inDoubtOrder(it, false, it.LoadFence, it.LoadSent))
		}
		if it.UnloadFence > 0 && !it.Gone {
			out = append(out, l.inDoubtOrder(it, true, it.UnloadFence, it.UnloadSent))
		}
	}
	return out
}

func (l *Ledger) inDoubtOrder(it *Item, unload bool, fence int64, since time.Time) InDoubtOrder {
	return InDoubtOrder{
		Engine: l.Engine, Item: it.Name, Unload: unload, OrderID: it.OrderID, Fence: fence, Since: since,
	}
}

func (l *Ledger) index(name string) int {
	return sort.Search(len(l.Items), func(i int) bool { return l.Items[i].Name >= name })
}

func (l *Ledger) insert(it Item) *Item {
	i := l.index(it.Name)
	l.Items = append(l.Items, Item{})
	copy(l.Items[i+1:], l.Items[i:])
	l.Items[i] = it
	return &l.Items[i]
}
