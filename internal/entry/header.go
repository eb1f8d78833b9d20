package entry

import (
	"net/http"
	"strings"
)

// hopByHop are the headers that apply to one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length",
}

// forwardedHeader returns the caller's headers without hop-by-hop headers and those that only hosts may set.
func forwardedHeader(h http.Header, n Headers) http.Header {
	out := withoutHopByHop(h)
	for _, name := range n.HostOnly {
		out.Del(name)
	}
	return out
}

// withoutHopByHop returns a copy without hop-by-hop headers, including those that the Connection header lists.
func withoutHopByHop(h http.Header) http.Header {
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

// copyHeader copies an upstream's headers to a response, without hop-by-hop headers.
func copyHeader(to, from http.Header) {
	for name, values := range withoutHopByHop(from) {
		to[name] = values
	}
}
