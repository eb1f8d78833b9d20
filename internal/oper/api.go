package oper

import (
	"github.com/figreel/figreel/internal/docrev"
	"github.com/figreel/figreel/internal/wire"
	"github.com/figreel/figreel/pkg/answer"
	"github.com/figreel/figreel/pkg/envdoc"
	"github.com/figreel/figreel/pkg/find"
)

const (
	// CodeFindings is a document with findings; it was not accepted.
	CodeFindings = "findings"
	// CodeConflict is a change whose base is no longer the newest revision.
	CodeConflict = "conflict"
	// CodeUnavailable is a request that needs the key-value service, which is not available; it wrote nothing.
	CodeUnavailable = "kv_unavailable"
	// CodeUnknown is a change that may have been accepted.
	CodeUnknown = "outcome_unknown"
	// CodeNotFound is a revision, host or upstream that does not exist.
	CodeNotFound = "not_found"
	// CodeOtherHost is a drain of a host other than the one that was asked.
	CodeOtherHost = "other_host"
	// CodeBadRequest is a request that cannot be read.
	CodeBadRequest = "bad_request"
	// CodeUnauthorized is a request without a known operator key.
	CodeUnauthorized = "unauthorized"
	// CodeFailed is any other failure.
	CodeFailed = "failed"
)

const (
	// DrainHost starts the planned stop of the host that is asked.
	DrainHost = "host"
	// DrainUpstream stops new work to an engine or an upstream of a plain service.
	DrainUpstream = "upstream"
)

type (
	// Apply proposes a document; the same change id can be sent again safely.
	Apply struct {
		ChangeID string `json:"change_id"`
		Author   string `json:"author"`
		Base     int64  `json:"base"`
		Document string `json:"document"`
	}

	// Applied is an accepted change.
	Applied struct {
		Revision int64 `json:"revision"`
	}

	// Draft is a document to check, compare or promote.
	Draft struct {
		Document string `json:"document"`
	}

	// Compared holds what a draft changes in the document in force; Document is the result of a promotion.
	Compared struct {
		Base     int64           `json:"base"`
		Changes  []envdoc.Change `json:"changes"`
		Document string          `json:"document,omitempty"`
	}

	// Document is an accepted revision with its document.
	Document struct {
		docrev.HistoryEntry
		Document string `json:"document"`
	}

	// Drain stops new work to an upstream or starts the stop of a host; Back undoes the former.
	Drain struct {
		Kind string `json:"kind"`
		Name string `json:"name"`
		Back bool   `json:"back,omitempty"`
	}

	// Failure is the body of every response that is not a success.
	Failure struct {
		Code     string           `json:"code"`
		Outcome  answer.Outcome   `json:"outcome"`
		Message  string           `json:"message"`
		Findings []find.Finding   `json:"findings,omitempty"`
		Conflict *docrev.Conflict `json:"conflict,omitempty"`
	}

	// Status is what one host knows.
	Status struct {
		Host          string         `json:"host"`
		Environment   string         `json:"environment"`
		FailureDomain string         `json:"failure_domain"`
		Ready         bool           `json:"ready"`
		Leaving       bool           `json:"leaving"`
		CallsInFlight int            `json:"calls_in_flight"`
		Config        docrev.Status  `json:"config"`
		Hosts         []wire.Member  `json:"hosts"`
		Upstreams     []Upstream     `json:"upstreams"`
		Models        []Model        `json:"models"`
		Doubts        []OrderInDoubt `json:"orders_in_doubt"`
	}

	// Upstream is an engine, or an upstream of a plain service; Group is its pool or service.
	Upstream struct {
		Name          string `json:"name"`
		Group         string `json:"group"`
		FailureDomain string `json:"failure_domain"`
		Up            bool   `json:"up"`
		Leaving       bool   `json:"leaving"`
		Running       int    `json:"running"`
		UsableMB      int    `json:"usable_mb,omitempty"`
		ReservedMB    int    `json:"reserved_mb,omitempty"`
	}

	// Model is a model or adapter with its copies that respond.
	Model struct {
		Name      string   `json:"name"`
		Pool      string   `json:"pool"`
		MinCopies int      `json:"min_copies"`
		Engines   []string `json:"engines"`
	}

	// OrderInDoubt is an order whose effect is not certain, so that its memory stays reserved.
	OrderInDoubt struct {
		Engine   string `json:"engine"`
		Order    string `json:"order"`
		Item     string `json:"item"`
		MemoryMB int    `json:"memory_mb"`
		AgeS     int    `json:"age_s"`
	}
)

// Error returns the code and the message.
func (f *Failure) Error() string {
	return f.Code + ": " + f.Message
}
