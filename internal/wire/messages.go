package wire

import "time"

const (
	// KindPing exchanges membership updates.
	KindPing Kind = "ping"
	// KindProbe asks a member to ping another one.
	KindProbe Kind = "probe"
	// KindJoin asks for the whole member table.
	KindJoin Kind = "join"
	// KindPull asks for a document revision.
	KindPull Kind = "pull"
	// KindTicket asks a dispatcher for a ticket; its stream stays open while the ticket is held.
	KindTicket Kind = "ask"
	// KindRestore announces open tickets to a new dispatcher.
	KindRestore Kind = "renew"
	// KindSnapshot asks for a pool's residency.
	KindSnapshot Kind = "snap"
	// KindLoad asks for a weight-store ticket.
	KindLoad Kind = "load"
	// KindHandover offers a released lease to its successor.
	KindHandover Kind = "hand"
)

const (
	// Alive is a member that answers.
	Alive MemberState = iota
	// Suspect is a member that missed its probes and may still refute.
	Suspect
	// Leaving is a member in a planned stop.
	Leaving
	// Dead is a member that did not refute its suspicion.
	Dead
)

type (
	// Kind names an exchange; it is the first frame of its stream.
	Kind string

	// MemberState is ordered: at equal incarnation the higher state wins.
	MemberState uint8

	// Member is what hosts tell each other of one host.
	Member struct {
		Name        string      `cbor:"1,keyasint" json:"name"`
		Addr        string      `cbor:"2,keyasint" json:"addr"`
		CallerURL   string      `cbor:"3,keyasint" json:"caller_url"`
		Domain      string      `cbor:"4,keyasint" json:"failure_domain"`
		Incarnation uint64      `cbor:"5,keyasint" json:"incarnation"`
		State       MemberState `cbor:"6,keyasint" json:"state"`
	}

	// Owner tells which host holds the lease of a pool; the higher epoch wins.
	Owner struct {
		Pool  string `cbor:"1,keyasint" json:"pool"`
		Host  string `cbor:"2,keyasint" json:"host"`
		Epoch int64  `cbor:"3,keyasint" json:"epoch"`
	}

	// Departure tells that an upstream is leaving, or with Returned set that it has returned.
	Departure struct {
		Upstream string `cbor:"1,keyasint"`
		Returned bool   `cbor:"2,keyasint,omitempty"`
		Seq      int64  `cbor:"3,keyasint"`
	}

	// Ping carries bounded gossip; it is also the answer to a ping.
	Ping struct {
		From       Member      `cbor:"1,keyasint"`
		Revision   int64       `cbor:"2,keyasint"`
		Members    []Member    `cbor:"3,keyasint,omitempty"`
		Owners     []Owner     `cbor:"4,keyasint,omitempty"`
		Departures []Departure `cbor:"5,keyasint,omitempty"`
		// Digest sums up the sender's table; tables that differ for long are exchanged as a whole.
		Digest uint64 `cbor:"6,keyasint,omitempty"`
	}

	// Probe asks the receiver to ping Target.
	Probe struct {
		Target Member `cbor:"1,keyasint"`
	}

	// ProbeResult tells whether the target answered.
	ProbeResult struct {
		OK bool `cbor:"1,keyasint"`
	}

	// Table is a join and its answer; the first member is the sender. A new host sends only its own record, the answer
	// is the whole table, and hosts whose tables differ send theirs.
	Table struct {
		Revision   int64       `cbor:"1,keyasint"`
		Members    []Member    `cbor:"2,keyasint"`
		Owners     []Owner     `cbor:"3,keyasint"`
		Departures []Departure `cbor:"4,keyasint,omitempty"`
	}

	// Pull asks for the receiver's document if its revision is at least Revision.
	Pull struct {
		Revision int64 `cbor:"1,keyasint"`
	}

	// Document is a revision with its digest; Revision 0 means that the sender has none.
	Document struct {
		Revision int64  `cbor:"1,keyasint"`
		Digest   []byte `cbor:"2,keyasint"`
		Body     []byte `cbor:"3,keyasint"`
	}

	// TicketRequest describes a call for admission and engine choice.
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

	// TicketResponse is a ticket, or with Code set a refusal of a call that was not run.
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
		// ModelItem and AdapterItem are the versions that the engine holds, as name@version.
		ModelItem   string `cbor:"10,keyasint,omitempty"`
		AdapterItem string `cbor:"11,keyasint,omitempty"`
	}

	// Progress reports on a ticket while it is held; Done with Failed set blames the engine.
	Progress struct {
		Tokens       int  `cbor:"1,keyasint"`
		FirstTokenMS int  `cbor:"2,keyasint,omitempty"`
		Done         bool `cbor:"3,keyasint,omitempty"`
		Failed       bool `cbor:"4,keyasint,omitempty"`
		Leaving      bool `cbor:"5,keyasint,omitempty"`
	}

	// OpenTicket is one open ticket that an entry host announces to a new dispatcher.
	OpenTicket struct {
		Request TicketRequest `cbor:"1,keyasint"`
		Ticket  string        `cbor:"2,keyasint"`
		Engine  string        `cbor:"3,keyasint"`
		Tokens  int           `cbor:"4,keyasint"`
		// ModelItem and AdapterItem are those of the grant.
		ModelItem   string `cbor:"5,keyasint,omitempty"`
		AdapterItem string `cbor:"6,keyasint,omitempty"`
	}

	// SnapshotRequest asks for a pool's residency if it is newer than Version.
	SnapshotRequest struct {
		Pool    string `cbor:"1,keyasint"`
		Version int64  `cbor:"2,keyasint"`
	}

	// EngineView is the residency of one engine.
	EngineView struct {
		Name    string   `cbor:"1,keyasint"`
		Items   []string `cbor:"2,keyasint"`
		Leaving bool     `cbor:"3,keyasint,omitempty"`
	}

	// PoolView is the residency of a pool.
	PoolView struct {
		Pool    string       `cbor:"1,keyasint"`
		Version int64        `cbor:"2,keyasint"`
		Engines []EngineView `cbor:"3,keyasint"`
	}

	// LoadRequest asks for a weight-store ticket; a lower Urgency value goes first.
	LoadRequest struct {
		Pool     string `cbor:"1,keyasint"`
		Engine   string `cbor:"2,keyasint"`
		Item     string `cbor:"3,keyasint"`
		Adapter  bool   `cbor:"4,keyasint,omitempty"`
		MemoryMB int    `cbor:"5,keyasint"`
		Urgency  int    `cbor:"6,keyasint"`
		Held     bool   `cbor:"7,keyasint,omitempty"`
	}

	// LoadResponse lets a load begin; the ticket is held while the stream stays open.
	LoadResponse struct {
		OK     bool   `cbor:"1,keyasint"`
		Reason string `cbor:"2,keyasint,omitempty"`
	}

	// Handover tells a successor that the lease of a pool has been released.
	Handover struct {
		Pool string `cbor:"1,keyasint"`
	}
)
