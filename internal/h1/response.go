package h1

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Response is an upstream's answer; its body must be read to the end or closed.
type Response struct {
	Status int
	Header http.Header

	body    io.ReadCloser
	pool    *Pool
	conn    *conn
	stop    func() bool
	written <-chan error
	keep    bool
	ended   bool
}

// Read reads the body; io.EOF means that it is complete.
func (a *Response) Read(b []byte) (int, error) {
	n, err := a.body.Read(b)
	if err == nil {
		return n, nil
	}
	if errors.Is(err, io.EOF) {
		a.finish(true)
		return n, io.EOF
	}
	a.finish(false)
	return n, errors.Wrap(ErrNoResponse, err.Error())
}

// ReadAll reads a body of at most limit bytes.
func (a *Response) ReadAll(limit int64) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(a, limit+1))
	if err == nil && int64(len(b)) > limit {
		err = errors.Errorf("answer is longer than %d bytes", limit)
	}
	if err != nil {
		a.Close()
		return nil, err
	}
	return b, nil
}

// Close drops the answer and its connection, unless the body was read to the end.
func (a *Response) Close() { a.finish(false) }

func (a *Response) finish(whole bool) {
	if a.ended {
		return
	}
	a.ended = true
	sent := false
	select {
	case err := <-a.written:
		sent = err == nil
	default:
	}
	if !a.stop() || !whole || !sent || !a.keep || a.conn.br.Buffered() > 0 {
		a.conn.abort()
		return
	}
	a.pool.put(a.conn)
}

// read reads heads until the one of the request's own answer.
func (p *Pool) read(c *conn, r *Request) (*Response, error) {
	for range maxStray + 1 {
		res, err := http.ReadResponse(c.br, &http.Request{Method: r.Method})
		if err != nil {
			return nil, err
		}
		if res.StatusCode < http.StatusOK {
			continue
		}
		id := res.Header.Get(p.IDHeader)
		if r.ID == "" || id == r.ID || id == "" && !c.used {
			return answer(c, res), nil
		}
		if res.ContentLength < 0 {
			return nil, errors.New("answer to another request without a length")
		}
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			return nil, err
		}
	}
	return nil, errors.New("only answers to other requests")
}

func answer(c *conn, res *http.Response) *Response {
	c.limit = idleLimit(res.Header.Get("Keep-Alive"))
	unframed := res.ContentLength < 0 && len(res.TransferEncoding) == 0
	return &Response{
		Status: res.StatusCode, Header: res.Header, body: res.Body, keep: !res.Close && !unframed,
	}
}

// idleLimit returns how long a connection may idle by a header such as timeout=5.
func idleLimit(v string) time.Duration {
	for part := range strings.SplitSeq(v, ",") {
		s, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(s); err == nil {
			return min(max(time.Duration(n)*time.Second-idleMargin, 0), maxIdle)
		}
	}
	return maxIdle
}
