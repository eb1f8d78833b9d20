package engine

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

const (
	// LoadModel loads a model version.
	LoadModel OrderKind = "load_model"
	// UnloadModel removes a model version.
	UnloadModel OrderKind = "unload_model"
	// LoadAdapter loads an adapter version onto its loaded model.
	LoadAdapter OrderKind = "load_adapter"
	// UnloadAdapter removes an adapter version.
	UnloadAdapter OrderKind = "unload_adapter"
	// SetRole changes the role of the engine.
	SetRole OrderKind = "set_role"
	// Sync changes nothing but raises the fencing number that the engine has seen.
	Sync OrderKind = "sync"

	// Loading is an item that does not answer yet; its memory is in use.
	Loading ItemState = "loading"
	// Resident is an item that answers.
	Resident ItemState = "resident"
	// Unloading is an item that no longer answers; its memory is still in use.
	Unloading ItemState = "unloading"
)

// ErrTruncated means that a stream ended without the engine's final event.
var ErrTruncated = errors.New("stream ended without a final event")

type (
	// OrderKind names what an order changes.
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

	// Status is an engine's report; TakenAt is the engine's clock, and Seq rises with each report of one boot.
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

	// Order is one change; engines that check fencing refuse a Fence below the highest that they have seen.
	Order struct {
		ID       string    `json:"id"`
		Kind     OrderKind `json:"kind"`
		Item     string    `json:"item"`
		Model    string    `json:"model,omitempty"`
		Role     string    `json:"role,omitempty"`
		MemoryMB int       `json:"memory_mb"`
		Fence    int64     `json:"fence"`
	}

	// OrderResult is an engine's answer to an order: applied, or refused with the fencing number it has seen.
	OrderResult struct {
		Applied bool   `json:"applied"`
		Reason  string `json:"reason,omitempty"`
		Fence   int64  `json:"fence"`
		BootID  string `json:"boot_id"`
		Seq     int64  `json:"seq"`
	}

	// Call is one attempt at a generation; DeliveredTokens are those that the caller already has when a stream is
	// resumed.
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

	// Event is one token, or the final event with the finish reason and the token counts.
	Event struct {
		AttemptID        string `json:"attempt_id"`
		Index            int    `json:"index"`
		Token            string `json:"token,omitempty"`
		Final            bool   `json:"final,omitempty"`
		FinishReason     string `json:"finish_reason,omitempty"`
		PromptTokens     int    `json:"prompt_tokens,omitempty"`
		CompletionTokens int    `json:"completion_tokens,omitempty"`
	}

	// Stream yields the events of one attempt; Close cancels the attempt if it has not ended.
	Stream interface {
		// Next returns the next event, io.EOF after the final one, ErrTruncated or another error otherwise.
		Next(ctx context.Context) (Event, error)
		Close() error
	}

	// API is everything that the project asks of an engine; url is the engine's base address.
	API interface {
		// Generate starts an attempt; an error is a *SendError.
		Generate(ctx context.Context, url string, c Call) (Stream, error)
		// SendOrder gives an order; an error means that the order may or may not arrive.
		SendOrder(ctx context.Context, url string, o Order) (OrderResult, error)
		// Status returns the engine's current report of memory; its load figures may lag.
		Status(ctx context.Context, url string) (Status, error)
	}

	// SendError tells whether an attempt that did not start can have been run.
	SendError struct {
		NotExecuted bool
		Leaving     bool
		Status      int
		Reason      string
	}
)

// Error returns the reason.
func (e *SendError) Error() string {
	return "engine call: " + e.Reason
}
