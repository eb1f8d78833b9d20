package strict

import (
	"encoding/hex"
	"net/url"
	"regexp"
	"strings"
)

const sha256Bytes = 32

// Names become parts of key-value keys and URL paths, and "@" separates a name from its version.
var validName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$`)

// Line returns the line of the field, or of the nearest field around it when it is absent.
func (f *Decoded) Line(path string) int {
	for path != "" {
		if n, ok := f.lines[path]; ok {
			return n
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return 0
}

// AddFinding records a finding about a field, unless its value could not be decoded, which has been recorded already.
func (f *Decoded) AddFinding(path, format string, args ...any) {
	if !f.decoded[path] {
		f.list.Add(f.Line(path), path, format, args...)
	}
}

// CheckName checks a required name.
func (f *Decoded) CheckName(path, v string) {
	if v == "" {
		f.AddFinding(path, "is required")
	} else if !validName.MatchString(v) {
		f.AddFinding(path, "%q is not a name: use up to 100 letters, digits, dots, dashes and underscores", v)
	}
}

// CheckMin checks a whole number.
func (f *Decoded) CheckMin(path string, v, least int64) {
	if v < least {
		f.AddFinding(path, "must be at least %d, is %d", least, v)
	}
}

// CheckDigest checks a SHA-256 digest and reports whether it is one.
func (f *Decoded) CheckDigest(path, v string) bool {
	b, err := hex.DecodeString(v)
	ok := err == nil && len(b) == sha256Bytes && hex.EncodeToString(b) == v
	if !ok {
		f.AddFinding(path, "must be a SHA-256 digest in 64 lower-case hexadecimal digits")
	}
	return ok
}

// CheckURL checks a required base address.
func (f *Decoded) CheckURL(path, v string) {
	if v == "" {
		f.AddFinding(path, "is required")
		return
	}
	u, err := url.Parse(v)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Hostname() == "" {
		f.AddFinding(path, "%q is not an http or https address", v)
	} else if u.RawQuery != "" || u.Fragment != "" || u.User != nil {
		f.AddFinding(path, "%q must not hold credentials, a query or a fragment", v)
	}
}
