package wire

import "time"

const (
	// KindPing checks that a member is alive and exchanges gossip: a Ping in each direction.
	KindPing Kind = "ping"
	// KindProbe asks a member to ping another one: a Probe, answered by a ProbeResult.
	KindProbe Kind = "probe"
	// KindJoin asks for the whole member table: a Table in each direction.
	KindJoin Kind = "join"
	// KindPull asks for a document revision: a Pull, answered by a Document.
	KindPull Kind = "pull"
	// KindTicket asks a dispatcher for a ticket: a TicketRequest, answered by a TicketResponse. The stream stays open
	// while the ticket is, for Progress reports and for the response that migrates the call to another engine.
	KindTicket Kind = "ask"
	// KindRestore restores an open ticket at a new dispatcher: an OpenTicket; the stream then continues as with
	// KindTicket.
	KindRestore Kind = "renew"
	// KindSnapshot asks for a pool's residency: a SnapshotRequest, answered by a PoolView.
	KindSnapshot Kind = "snap"
	// KindLoad asks for a weight-store ticket: a LoadRequest, answered by a LoadResponse.
	KindLoad Kind = "load"
	// KindHandover offers a released lease to the host that is to acquire it next: a Handover, answered by
	// a ProbeResult.
	KindHandover Kind = "hand"
)

const (
	// Alive is a member that responds to pings.
	Alive MemberState = iota
	// Suspect is a member that did not respond to probes; it may still refute the suspicion with a higher incarnation.
	Suspect
	// Leaving is a member in a graceful shutdown.
	Leaving
	// Dead is a member that did not refute its suspicion in time.
	Dead
)

type (
	// Kind names the protocol of a stream; it is sent in the stream's first frame.
	Kind string

	// MemberState is the state of a member. Of two updates with the same incarnation, the one with the higher state
	// wins.
	MemberState uint8

	// Member is the membership entry of one host. Incarnation is raised by the host itself to refute a suspicion; the
	// entry with the higher one wins.
	Member struct {
		Name        string      `cbor:"1,keyasint" json:"name"`
		Addr        string      `cbor:"2,keyasint" json:"addr"`
		CallerURL   string      `cbor:"3,keyasint" json:"caller_url"`
		Domain      string      `cbor:"4,keyasint" json:"failure_domain"`
		Incarnation uint64      `cbor:"5,keyasint" json:"incarnation"`
		State       MemberState `cbor:"6,keyasint" json:"state"`
	}

	// Owner states which host holds the lease of a pool; the entry with the higher epoch wins.
	Owner struct {
		Pool  string `cbor:"1,keyasint" json:"pool"`
		Host  string `cbor:"2,keyasint" json:"host"`
		Epoch int64  `cbor:"3,keyasint" json:"epoch"`
	}

	// Departure announces that an upstream is leaving or, with Returned set, that it has returned; the entry with the
	// higher Seq wins.
	Departure struct {
		Upstream string `cbor:"1,keyasint"`
		Returned bool   `cbor:"2,keyasint,omitempty"`
		Seq      int64  `cbor:"3,keyasint"`
	}

	// Ping carries the sender's newest document revision and a limited number of gossip entries; the response to a ping
	// is a Ping too.
	Ping struct {
		From       Member      `cbor:"1,keyasint"`
		Revision   int64       `cbor:"2,keyasint"`
		Members    []Member    `cbor:"3,keyasint,omitempty"`
		Owners     []Owner     `cbor:"4,keyasint,omitempty"`
		Departures []Departure `cbor:"5,keyasint,omitempty"`
		// Digest is a hash of the sender's table. Hosts whose digests differ for long exchange whole tables.
		Digest uint64 `cbor:"6,keyasint,omitempty"`
	}

	// Probe asks the receiver to ping Target.
	Probe struct {
		Target Member `cbor:"1,keyasint"`
	}

	// ProbeResult states whether the target responded to the ping.
	ProbeResult struct {
		OK bool `cbor:"1,keyasint"`
	}

	// Table is a join request and its response; the first member is the sender. A new host sends only its own entry,
	// and the response is the whole table. Hosts whose tables differ send their whole tables to each other.
	Table struct {
		Revision   int64       `cbor:"1,keyasint"`
		Members    []Member    `cbor:"2,keyasint"`
		Owners     []Owner     `cbor:"3,keyasint"`
		Departures []Departure `cbor:"4,keyasint,omitempty"`
	}

	// Pull asks for a document of at least Revision; 0 asks for the receiver's active one.
	Pull struct {
		Revision int64 `cbor:"1,keyasint"`
	}

	// Document is a revision with its encoded record as Body, and Digest, the SHA-256 of Body. Revision 0 means that
	// the sender has none that is new enough.
	Document struct {
		Revision int64  `cbor:"1,keyasint"`
		Digest   []byte `cbor:"2,keyasint"`
		Body     []byte `cbor:"3,keyasint"`
	}

	// TicketRequest describes a call that waits for admission and an engine. Tried names the engines on which attempts
	// failed, Hedge marks a second attempt beside a slow one, and TokensDone counts the tokens that the client already
	// has.
	TicketRequest struct {
		CallID         string    `cbor:"1,keyasint"`
		Pool           string    `cbor:"2,keyasint"`
		Model          string    `cbor:"3,keyasint"`
		Adapter        string    `cbor:"4,keyasint,omitempty"`
		Class          string    `cbor:"5,keyasint"`
		Caller         string    `cbor:"6,keyasint"`
		Deadline       time.Time `cbor:"-"` // set by the receiver from RemainingMS, because clocks differ
		RemainingMS    int64     `cbor:"7,keyasint"`
		PromptTokens   int       `cbor:"8,keyasint"`
		ExpectedTokens int       `cbor:"9,keyasint"`
		PrefixHash     uint64    `cbor:"10,keyasint,omitempty"`
		Tried          []string  `cbor:"11,keyasint,omitempty"`
		Hedge          bool      `cbor:"12,keyasint,omitempty"`
		TokensDone     int       `cbor:"13,keyasint,omitempty"`
	}

	// TicketResponse is a granted ticket, if Code is empty. Code queued means that the call still waits, code moved
	// on an open ticket that the call must continue on another engine. Any other code is that of a rejected call, which
	// was not executed. Version is that of the pool's residency.
	TicketResponse struct {
		Ticket       string `cbor:"1,keyasint"`
		Engine       string `cbor:"2,keyasint"`
		URL          string `cbor:"3,keyasint"`
		Priority     int    `cbor:"4,keyasint"`
		HedgeAfterMS int    `cbor:"5,keyasint,omitempty"`
		Version      int64  `cbor:"6,keyasint"`
		Code         string `cbor:"7,keyasint,omitempty"`
		Reason       string `cbor:"8,keyasint,omitempty"`
		RetryAfterMS int    `cbor:"9,keyasint,omitempty"`
		// ModelItem and AdapterItem are the versions that are resident on the engine, as name@version.
		ModelItem   string `cbor:"10,keyasint,omitempty"`
		AdapterItem string `cbor:"11,keyasint,omitempty"`
	}

	// Progress is a report on an open ticket. Done returns the ticket, Failed counts the end as a failure of the
	// engine, and Leaving reports that the engine is draining.
	Progress struct {
		Tokens       int  `cbor:"1,keyasint"`
		FirstTokenMS int  `cbor:"2,keyasint,omitempty"`
		Done         bool `cbor:"3,keyasint,omitempty"`
		Failed       bool `cbor:"4,keyasint,omitempty"`
		Leaving      bool `cbor:"5,keyasint,omitempty"`
	}

	// OpenTicket is an open ticket that the host which received the call restores at a new dispatcher. Tokens is the
	// token count that was last reported for the ticket.
	OpenTicket struct {
		Request TicketRequest `cbor:"1,keyasint"`
		Ticket  string        `cbor:"2,keyasint"`
		Engine  string        `cbor:"3,keyasint"`
		Tokens  int           `cbor:"4,keyasint"`
		// ModelItem and AdapterItem are those of the ticket's TicketResponse.
		ModelItem   string `cbor:"5,keyasint,omitempty"`
		AdapterItem string `cbor:"6,keyasint,omitempty"`
	}

	// SnapshotRequest asks for a pool's residency. Receivers ignore Version and always send the current one.
	SnapshotRequest struct {
		Pool    string `cbor:"1,keyasint"`
		Version int64  `cbor:"2,keyasint"`
	}

	// EngineView is the residency of one engine: Items lists its models and adapters as name@version. Leaving is set if
	// the engine takes no new calls, because it is draining or unavailable.
	EngineView struct {
		Name    string   `cbor:"1,keyasint"`
		Items   []string `cbor:"2,keyasint"`
		Leaving bool     `cbor:"3,keyasint,omitempty"`
	}

	// PoolView is the residency snapshot of a pool; Version rises with each change.
	PoolView struct {
		Pool    string       `cbor:"1,keyasint"`
		Version int64        `cbor:"2,keyasint"`
		Engines []EngineView `cbor:"3,keyasint"`
	}

	// LoadRequest asks for a weight-store ticket; a lower Urgency value is served first. Held restores a ticket that
	// the sender already has. A request without Item only reports that the pool's owner can reach the
	// receiver; as the second message of a stream, it releases the ticket.
	LoadRequest struct {
		Pool     string `cbor:"1,keyasint"`
		Engine   string `cbor:"2,keyasint"`
		Item     string `cbor:"3,keyasint"`
		Adapter  bool   `cbor:"4,keyasint,omitempty"`
		MemoryMB int    `cbor:"5,keyasint"`
		Urgency  int    `cbor:"6,keyasint"`
		Held     bool   `cbor:"7,keyasint,omitempty"`
	}

	// LoadResponse grants a weight-store ticket or rejects the request; the ticket is valid while the stream stays
	// open.
	LoadResponse struct {
		OK     bool   `cbor:"1,keyasint"`
		Reason string `cbor:"2,keyasint,omitempty"`
	}

	// Handover informs the host that is to acquire the lease of a pool next that the lease has been released.
	Handover struct {
		Pool string `cbor:"1,keyasint"`
	}
)
