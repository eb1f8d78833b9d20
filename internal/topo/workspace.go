package topo

import "crypto/sha256"

type (
	// Workspace is a tenant of the deployment: it holds keys, and may have a priority and a quota.
	Workspace struct {
		Name string
		Keys []KeyDigest
		// Priority goes before the priority of the route where HasPriority is set; 0 is the most urgent.
		Priority    int
		HasPriority bool
		Quota       Quota
	}

	// KeyDigest is the SHA-256 digest of a key. Keys themselves are not kept.
	KeyDigest [sha256.Size]byte

	// Quota limits what the calls of a workspace may use over all hosts: Rate units a second, and Burst units more
	// after a pause. Rate 0 means that there is no limit.
	Quota struct {
		Rate  float64
		Burst float64
		// InTokens is set if a unit is a token; otherwise a unit is a call.
		InTokens bool
		// PlainTokens is what a call that states no tokens counts as, if a unit is a token.
		PlainTokens int
	}
)

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Limited reports whether the quota limits anything.
func (q *Quota) Limited() bool { return q.Rate > 0 }

// Cost returns what a call with this many prompt and output tokens counts as; a plain call states none.
func (q *Quota) Cost(prompt, output int, plain bool) float64 {
	switch {
	case !q.InTokens:
		return 1
	case plain:
		return float64(q.PlainTokens)
	}
	return float64(prompt + output)
}
