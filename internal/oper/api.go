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
	// CodeKVUnavailable is a request that needs the key-value service, which is not available; it wrote nothing.
	CodeKVUnavailable = "kv_unavailable"
	// CodeOutcomeUnknown is a change that may have been accepted.
	CodeOutcomeUnknown = "outcome_unknown"
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
	// ApplyRequest proposes a document; the same change id can be sent again safely.
	ApplyRequest struct {
		ChangeID string `json:"change_id"`
		Author   string `json:"author"`
		Base     int64  `json:"base"`
		Document string `json:"document"`
	}

	// ApplyResponse is an accepted change.
	ApplyResponse struct {
		Revision int64 `json:"revision"`
	}

	// CandidateDoc is a document to check, compare or promote.
	CandidateDoc struct {
		Document string `json:"document"`
	}

	// DiffResponse holds what a draft changes in the document in force; Document is the result of a promotion.
	DiffResponse struct {
		Base     int64           `json:"base"`
		Changes  []envdoc.Change `json:"changes"`
		Document string          `json:"document,omitempty"`
	}

	// DocumentRevision is an accepted revision with its document.
	DocumentRevision struct {
		docrev.HistoryEntry
		Document string `json:"document"`
	}

	// DrainRequest stops new work to an upstream or starts the stop of a host; End undoes the former.
	DrainRequest struct {
		Kind string `json:"kind"`
		Name string `json:"name"`
		End  bool   `json:"back,omitempty"`
	}

	// ErrorResponse is the body of every response that is not a success.
	ErrorResponse struct {
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
		InDoubtOrders []InDoubtOrder `json:"orders_in_doubt"`
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

	// InDoubtOrder is an order whose effect is not certain, so that its memory stays reserved.
	InDoubtOrder struct {
		Engine   string `json:"engine"`
		Order    string `json:"order"`
		Item     string `json:"item"`
		MemoryMB int    `json:"memory_mb"`
		AgeS     int    `json:"age_s"`
	}
)

// Error returns the code and the message.
func (f *ErrorResponse) Error() string {
	return f.Code + ": " + f.Message
}
