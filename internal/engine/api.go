package engine

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

const (
	// LoadModel loads a model version into the engine's memory.
	LoadModel OrderKind = "load_model"
	// UnloadModel removes a model version from the engine's memory.
	UnloadModel OrderKind = "unload_model"
	// LoadAdapter loads an adapter version for a resident model.
	LoadAdapter OrderKind = "load_adapter"
	// UnloadAdapter removes an adapter version from the engine's memory.
	UnloadAdapter OrderKind = "unload_adapter"
	// SetRole sets the engine's role; a role has a name and occupies memory of the engine beside the items.
	SetRole OrderKind = "set_role"
	// Sync only raises the highest fencing token that the engine has seen, so that it rejects older orders.
	Sync OrderKind = "sync"

	// Loading is the state of an item that serves no calls yet; its memory is in use.
	Loading ItemState = "loading"
	// Resident is the state of an item that is loaded and serves calls.
	Resident ItemState = "resident"
	// Unloading is the state of an item that no longer serves calls; its memory is still in use.
	Unloading ItemState = "unloading"
)

// ErrTruncated means that a stream ended without the engine's final event.
var ErrTruncated = errors.New("stream ended without a final event")

type (
	// OrderKind is the kind of change that an order makes.
	OrderKind string

	// ItemState is the state of an item in an engine's memory.
	ItemState string

	// Item is a model or adapter version held in an engine's memory; Name is its name and version as name@version.
	Item struct {
		Name     string    `json:"name"`
		Adapter  bool      `json:"adapter"`
		MemoryMB int       `json:"memory_mb"`
		State    ItemState `json:"state"`
	}

	// Status is an engine's status report. TakenAt is by the engine's clock. Seq increases with each report of the same
	// process start, which BootID identifies.
	Status struct {
		BootID      string    `json:"boot_id"`
		Seq         int64     `json:"seq"`
		TakenAt     time.Time `json:"taken_at"`
		Leaving     bool      `json:"leaving"`
		Fence       int64     `json:"fence"`
		Role        string    `json:"role"`
		MemoryMB    int       `json:"memory_mb"`
		UsedMB      int       `json:"used_mb"`
		Items       []Item    `json:"items"`
		Running     int       `json:"running"`
		Waiting     int       `json:"waiting"`
		TokensPerS  float64   `json:"tokens_per_s"`
		LoadAgeMS   int64     `json:"load_age_ms"`
		LastOrderID string    `json:"last_order_id"`
	}

	// Order is one change to an engine. An engine that checks fencing rejects an order whose Fence, the fencing token,
	// is below the highest that it has seen.
	Order struct {
		ID       string    `json:"id"`
		Kind     OrderKind `json:"kind"`
		Item     string    `json:"item"`
		Model    string    `json:"model,omitempty"`
		Role     string    `json:"role,omitempty"`
		MemoryMB int       `json:"memory_mb"`
		Fence    int64     `json:"fence"`
	}

	// OrderResult is an engine's response to an order. Applied is false if the engine rejected the order; Fence is the
	// highest fencing token that the engine has seen.
	OrderResult struct {
		Applied bool   `json:"applied"`
		Reason  string `json:"reason,omitempty"`
		Fence   int64  `json:"fence"`
		BootID  string `json:"boot_id"`
		Seq     int64  `json:"seq"`
	}

	// Call is one attempt at a generation. When an attempt resumes a truncated stream, DeliveredTokens holds the tokens
	// that the caller already has.
	Call struct {
		AttemptID       string   `json:"attempt_id"`
		RequestID       string   `json:"request_id"`
		Model           string   `json:"model"`
		Adapter         string   `json:"adapter,omitempty"`
		Prompt          string   `json:"prompt"`
		MaxTokens       int      `json:"max_tokens"`
		Priority        int      `json:"priority"`
		Seed            int64    `json:"seed"`
		Params          []byte   `json:"params,omitempty"`
		DeliveredTokens []string `json:"tokens,omitempty"`
	}

	// Event is one token of a stream, or its final event with the finish reason and the token counts.
	Event struct {
		AttemptID        string `json:"attempt_id"`
		Index            int    `json:"index"`
		Token            string `json:"token,omitempty"`
		Final            bool   `json:"final,omitempty"`
		FinishReason     string `json:"finish_reason,omitempty"`
		PromptTokens     int    `json:"prompt_tokens,omitempty"`
		CompletionTokens int    `json:"completion_tokens,omitempty"`
	}

	// Stream returns the events of one attempt; Close cancels the attempt if it has not ended.
	Stream interface {
		// Next returns the next event, or io.EOF after the final one. It returns ErrTruncated if the stream ended
		// without a final event.
		Next(ctx context.Context) (Event, error)
		Close() error
	}

	// API is the set of calls to an engine; url is the engine's base URL.
	API interface {
		// Generate starts an attempt; its error is a *SendError.
		Generate(ctx context.Context, url string, c Call) (Stream, error)
		// SendOrder sends an order; after an error the outcome is unknown, and the order may still take effect.
		SendOrder(ctx context.Context, url string, o Order) (OrderResult, error)
		// Status returns the engine's status report; its memory use is current, its load metrics may be out of date.
		Status(ctx context.Context, url string) (Status, error)
	}

	// SendError is the failure of an attempt to start. NotExecuted is true only if the engine certainly has not
	// executed the attempt and will not; Leaving is true if the engine reported that it is leaving. Hold is the time
	// for which the engine wants no calls from this host, or 0.
	SendError struct {
		NotExecuted bool
		Leaving     bool
		Hold        time.Duration
		Status      int
		Reason      string
	}
)

// Error returns the reason of the failure.
func (e *SendError) Error() string {
	return "engine call: " + e.Reason
}
