package crowd

import (
	"fmt"
	"strings"
)

const (
	// headBytes is the size of a head that stops just under the limit of 64 KiB.
	headBytes = 58 << 10
	// pieceBytes is the size of the pieces in which a client sends without end.
	pieceBytes = 8 << 10
)

type (
	// Port is an address of the process. Request holds the request line and the header fields of a request that its
	// handler accepts, each with its line end, without the empty line; it is empty for a port that does not speak HTTP.
	Port struct {
		Addr    string
		Request string
	}

	// Case is what a client sends: the opening once, then the piece again and again unless it is empty. It holds the
	// connection until the process closes it.
	Case struct {
		Name string
		// Reads means that the client reads what it is sent.
		Reads bool
		Sends func(p Port) (opening, piece string)
	}
)

// Cases returns the cases for ports that speak HTTP.
func Cases() []Case {
	lines := strings.Repeat("\r\n", pieceBytes/2)
	long := strings.Repeat("a", pieceBytes)
	cases := []Case{
		{"distinct small fields", true, func(p Port) (string, string) { return p.Request + distinctFields(), "" }},
		{"one small field repeated", true, func(p Port) (string, string) {
			return p.Request + strings.Repeat("a: 1\r\n", headBytes/len("a: 1\r\n")), ""
		}},
		{"one long field", true, func(p Port) (string, string) {
			return p.Request + "A: " + strings.Repeat("a", headBytes), ""
		}},
		{"fields without end", true, func(p Port) (string, string) {
			return p.Request, strings.Repeat("a: 1\r\n", pieceBytes/len("a: 1\r\n"))
		}},
		{"request line without end", true, func(Port) (string, string) { return "GET /", long }},
		{"empty lines before the first request", true, func(Port) (string, string) { return "", lines }},
		{"empty lines before a later request", true, func(p Port) (string, string) { return whole(p), lines }},
		{"bare CR and LF", true, func(p Port) (string, string) {
			return strings.ReplaceAll(p.Request, "\r\n", "\n"), strings.Repeat("a: b\rc: d\n", pieceBytes/10)
		}},
		{"chunk extensions and trailers", true, func(p Port) (string, string) {
			return p.Request + "Transfer-Encoding: chunked\r\n\r\n1;" + strings.Repeat("a", 1000) + "\r\na\r\n0\r\n",
				strings.Repeat("a: 1\r\n", pieceBytes/len("a: 1\r\n"))
		}},
		{"bodies never finished", true, func(p Port) (string, string) {
			return p.Request + "Content-Length: 4000000\r\n\r\n", long
		}},
		{"idle connections", true, func(Port) (string, string) { return "", "" }},
		{"never reads", false, func(p Port) (string, string) {
			return "", strings.Repeat(whole(p), pieceBytes/len(whole(p))+1)
		}},
	}
	return cases
}

// LinkCases returns the cases for ports that speak CBOR.
func LinkCases() []Case {
	return []Case{
		{"one long string", true, func(Port) (string, string) {
			return "\xa1\x03\x7b\x00\x00\x00\x00\x40\x00\x00\x00", strings.Repeat("a", pieceBytes)
		}},
		{"array of small elements", true, func(Port) (string, string) {
			return "\xa1\x08\x9a\x00\x01\xff\xff", strings.Repeat("\xa0", pieceBytes)
		}},
	}
}

func distinctFields() string {
	var b strings.Builder
	for n := 0; b.Len() < headBytes; n++ {
		_, _ = fmt.Fprintf(&b, "f%x: 1\r\n", n)
	}
	return b.String()
}

func whole(p Port) string { return p.Request + "Content-Length: 0\r\n\r\n" }
