package strict

import (
	"encoding/hex"
	"net/url"
	"regexp"
	"strings"
)

const sha256Bytes = 32

// Names become parts of key-value keys and URL paths, so they hold no "/". They hold no "@" either, because it
// separates a name from its version.
var validName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$`)

// Line returns the 1-based line of the field, or of the closest enclosing field if the field is absent. It returns 0 if
// the file contains neither.
func (d *Decoded) Line(path string) int {
	for path != "" {
		if n, ok := d.lines[path]; ok {
			return n
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return 0
}

// AddFinding records a finding about a field, unless its value could not be decoded, which has been
// recorded as a finding already.
func (d *Decoded) AddFinding(path, format string, args ...any) {
	if !d.undecodable[path] {
		d.list.Add(d.Line(path), path, format, args...)
	}
}

// CheckName records a finding unless v is a valid name; it must not be empty.
func (d *Decoded) CheckName(path, v string) {
	if v == "" {
		d.AddFinding(path, "is required")
	} else if !validName.MatchString(v) {
		d.AddFinding(path, "%q is not a name: use up to 100 letters, digits, dots, dashes and underscores", v)
	}
}

// CheckMin records a finding if v is less than minimum.
func (d *Decoded) CheckMin(path string, v, minimum int64) {
	if v < minimum {
		d.AddFinding(path, "must be at least %d, is %d", minimum, v)
	}
}

// CheckDigest reports whether v is a SHA-256 digest in lower-case hexadecimal, and records a finding if not.
func (d *Decoded) CheckDigest(path, v string) bool {
	b, err := hex.DecodeString(v)
	ok := err == nil && len(b) == sha256Bytes && hex.EncodeToString(b) == v
	if !ok {
		d.AddFinding(path, "must be a SHA-256 digest in 64 lower-case hexadecimal digits")
	}
	return ok
}

// CheckURL records a finding unless v is an http or https base URL; it must not be empty.
func (d *Decoded) CheckURL(path, v string) {
	if v == "" {
		d.AddFinding(path, "is required")
		return
	}
	u, err := url.Parse(v)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Hostname() == "" {
		d.AddFinding(path, "%q is not an http or https address", v)
	} else if u.RawQuery != "" || u.Fragment != "" || u.User != nil {
		d.AddFinding(path, "%q must not hold credentials, a query or a fragment", v)
	}
}
