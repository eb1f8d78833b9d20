package script

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Server writes the response that Answer returns for each request, until its listener is closed; its exported fields
// are set before Listen.
type Server struct {
	// Answer returns a whole response. LF is sent as CRLF, and $ID as the value of IDHeader in the request.
	Answer   func(r *http.Request) string
	IDHeader string
	// Copies sends on each connection a copy of the previous response before the next one.
	Copies bool

	listener net.Listener
	conns    atomic.Int64
}

// Listen starts the server on loopback and returns its address.
func (s *Server) Listen() (addr string, err error) {
	if s.listener, err = net.Listen("tcp4", "127.0.0.1:0"); err != nil {
		return "", errors.Wrap(err, "listen")
	}
	go func() {
		for {
			nc, err := s.listener.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go s.serve(nc)
		}
	}()
	return s.listener.Addr().String(), nil
}

// Close ends the server; its open connections stay open.
func (s *Server) Close() error { return errors.Wrap(s.listener.Close(), "close listener") }

// Conns returns the number of connections so far.
func (s *Server) Conns() int { return int(s.conns.Load()) }

func (s *Server) serve(nc net.Conn) {
	defer func() { _ = nc.Close() }()
	br := bufio.NewReader(nc)
	previous := ""
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		response := strings.NewReplacer("\n", "\r\n", "$ID", r.Header.Get(s.IDHeader)).Replace(s.Answer(r))
		if _, err := io.WriteString(nc, previous+response); err != nil {
			return
		}
		if s.Copies {
			previous = response
		}
	}
}
