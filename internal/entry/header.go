package entry

import (
	"net/http"
	"strings"
)

// hopByHop are the headers that concern one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length",
}

// forwarded returns the caller's headers without those of its connection and those that only hosts set.
func forwarded(h http.Header, n Headers) http.Header {
	out := withoutHops(h)
	for _, name := range n.HostOnly {
		out.Del(name)
	}
	return out
}

func withoutHops(h http.Header) http.Header {
	out := h.Clone()
	for _, v := range h.Values("Connection") {
		for name := range strings.SplitSeq(v, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}

// copyHeader adds an upstream's headers to an answer.
func copyHeader(to, from http.Header) {
	for name, values := range withoutHops(from) {
		to[name] = values
	}
}
