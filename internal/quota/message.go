package quota

type (
	// Message is what a follower and its leader send each other. A follower echoes the newest stamp and reports charges
	// of plain calls. The leader sends stamps and tells the state of accounts.
	Message struct {
		// Stamp is the boot time of the leader when it sent the message, in nanoseconds, or the newest one that the
		// follower has got; 0 is none.
		Stamp int64 `cbor:"1,keyasint,omitempty"`
		// Sequence is the number of the report, or the number of the newest report that the leader has got.
		Sequence  uint64     `cbor:"2,keyasint,omitempty"`
		Charges   []Usage    `cbor:"3,keyasint,omitempty"`
		Standings []Standing `cbor:"4,keyasint,omitempty"`
		// Released is set if the sender does not lead any more, so that it does not use the part of the follower.
		Released bool `cbor:"5,keyasint,omitempty"`
	}

	// Usage is what plain calls of a workspace have used since the last report, in units.
	Usage struct {
		Workspace string `cbor:"1,keyasint"`
		Units     int64  `cbor:"2,keyasint"`
	}

	// Standing is the state of a workspace's account.
	Standing struct {
		Workspace string `cbor:"1,keyasint"`
		// WaitMS is the time until the account has room for a plain call, or 0 if it has.
		WaitMS int64 `cbor:"2,keyasint,omitempty"`
		// Scarce is set if the account is nearly empty.
		Scarce bool `cbor:"3,keyasint,omitempty"`
	}
)
