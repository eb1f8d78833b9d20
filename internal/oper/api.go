package oper

import (
	"github.com/figreel/figreel/internal/docrev"
	"github.com/figreel/figreel/internal/wire"
	"github.com/figreel/figreel/pkg/answer"
	"github.com/figreel/figreel/pkg/envdoc"
	"github.com/figreel/figreel/pkg/find"
)

const (
	// CodeFindings means that the document has validation findings and was not accepted.
	CodeFindings = "findings"
	// CodeConflict means that the base of the change is no longer the newest revision.
	CodeConflict = "conflict"
	// CodeKVUnavailable means that the request needs the key-value service, which is unavailable; nothing was written.
	CodeKVUnavailable = "kv_unavailable"
	// CodeOutcomeUnknown means that the change may or may not have been accepted.
	CodeOutcomeUnknown = "outcome_unknown"
	// CodeNotFound means that the revision, host or upstream does not exist.
	CodeNotFound = "not_found"
	// CodeOtherHost means that the host to drain is not the host that received the request.
	CodeOtherHost = "other_host"
	// CodeBadRequest means that the request is malformed or has an invalid value.
	CodeBadRequest = "bad_request"
	// CodeUnauthorized means that the request has no known operator key.
	CodeUnauthorized = "unauthorized"
	// CodeFailed means any other failure.
	CodeFailed = "failed"
)

const (
	// DrainHost starts a graceful shutdown of the host that receives the request.
	DrainHost = "host"
	// DrainUpstream stops new calls to an engine or an upstream of a plain service.
	DrainUpstream = "upstream"
)

type (
	// ApplyRequest proposes a document; it is idempotent by its change id. Base is the revision that was edited.
	ApplyRequest struct {
		ChangeID string `json:"change_id"`
		Author   string `json:"author"`
		Base     int64  `json:"base"`
		Document string `json:"document"`
	}

	// ApplyResponse returns the revision of an accepted change.
	ApplyResponse struct {
		Revision int64 `json:"revision"`
	}

	// CandidateDoc is a document in YAML to check, compare or promote.
	CandidateDoc struct {
		Document string `json:"document"`
	}

	// DiffResponse lists what a candidate document changes in the active document, whose revision is Base.
	// Document is set for a promotion only and holds the document to apply.
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

	// DrainRequest drains an upstream or starts a graceful shutdown of a host; End lets a drained upstream serve again.
	DrainRequest struct {
		Kind string `json:"kind"`
		Name string `json:"name"`
		End  bool   `json:"back,omitempty"`
	}

	// ErrorResponse is the body of every error response.
	ErrorResponse struct {
		Code     string           `json:"code"`
		Outcome  answer.Outcome   `json:"outcome"`
		Message  string           `json:"message"`
		Findings []find.Finding   `json:"findings,omitempty"`
		Conflict *docrev.Conflict `json:"conflict,omitempty"`
	}

	// Status is the state of one host, and what it knows of the other hosts, the upstreams and the models.
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

	// Upstream is the state of an engine or of an upstream of a plain service; Group names its pool or service.
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

	// Model is a model or adapter with the engines that have a replica ready to serve.
	Model struct {
		Name      string   `json:"name"`
		Pool      string   `json:"pool"`
		MinCopies int      `json:"min_copies"`
		Engines   []string `json:"engines"`
	}

	// InDoubtOrder is an order to an engine whose outcome is unknown, so that its memory stays reserved.
	InDoubtOrder struct {
		Engine   string `json:"engine"`
		Order    string `json:"order"`
		Item     string `json:"item"`
		MemoryMB int    `json:"memory_mb"`
		AgeS     int    `json:"age_s"`
	}
)

// Error returns the code and the message.
func (e *ErrorResponse) Error() string {
	return e.Code + ": " + e.Message
}
