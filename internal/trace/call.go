package trace

import (
	"bufio"
	"encoding/json"
	"io"
	"sync"

	"github.com/pkg/errors"
)

// maxLineBytes is the longest line that Read accepts.
const maxLineBytes = 64 << 10

type (
	// Call is one call of a trace. AtMS is its arrival in milliseconds since the start of the trace. The first
	// PrefixTokens of its prompt are the same in all calls with this PrefixHash. ExpectedTokens is the caller's
	// estimate of OutputTokens.
	Call struct {
		AtMS           float64 `json:"at_ms"`
		Pool           string  `json:"pool"`
		Class          string  `json:"class"`
		Caller         string  `json:"caller"`
		Model          string  `json:"model"`
		Adapter        string  `json:"adapter,omitempty"`
		PromptTokens   int     `json:"prompt_tokens"`
		PrefixTokens   int     `json:"prefix_tokens,omitempty"`
		PrefixHash     uint64  `json:"prefix_hash,omitempty"`
		ExpectedTokens int     `json:"expected_tokens,omitempty"`
		OutputTokens   int     `json:"output_tokens"`
		DeadlineMS     int     `json:"deadline_ms"`
		NotRepeatable  bool    `json:"not_repeatable,omitempty"`
		// Long is true for generated calls of a mix entry with long set; recorded calls leave it false.
		Long bool `json:"long,omitempty"`
		// FirstTokenMS (time to first token), TotalMS and Code (the error code) are observed by a host; generated calls
		// leave them empty.
		FirstTokenMS int    `json:"first_ms,omitempty"`
		TotalMS      int    `json:"total_ms,omitempty"`
		Code         string `json:"code,omitempty"`
	}

	// Writer writes calls to W as JSON lines; it is safe for concurrent use.
	Writer struct {
		W  io.Writer
		mu sync.Mutex
	}
)

// Write writes one call; it returns encoding errors and the errors of W.
func (w *Writer) Write(c Call) error {
	line, err := json.Marshal(c)
	if err != nil {
		return errors.Wrap(err, "encode call")
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	_, err = w.W.Write(append(line, '\n'))
	return errors.Wrap(err, "write call")
}

// Read returns all calls of a trace, skipping empty lines; an error about malformed JSON names the line.
func Read(r io.Reader) ([]Call, error) {
	var out []Call
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, maxLineBytes), maxLineBytes)
	for n := 1; s.Scan(); n++ {
		if len(s.Bytes()) == 0 {
			continue
		}
		var c Call
		if err := json.Unmarshal(s.Bytes(), &c); err != nil {
			return nil, errors.Wrapf(err, "line %d", n)
		}
		out = append(out, c)
	}
	return out, errors.Wrap(s.Err(), "read trace")
}
