package h1

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/intact"
	"github.com/figreel/figreel/internal/mem"
)

// Response is an upstream's response; its body must be read to the end or closed.
type Response struct {
	Status int
	Header http.Header
	Length int64 // of the body in bytes as the head states it, or -1
	// LocalAddr is the host's end of the connection, and Earlier the number of requests that it has carried before.
	LocalAddr string
	Earlier   int

	body        io.ReadCloser
	pool        *Pool
	conn        *conn
	stopAbort   func() bool  // cancels the abort that follows the end of the context
	writeResult <-chan error // receives the result of sending the request
	keepAlive   bool         // the response allows reuse of the connection
	untilClose  bool         // only the end of the connection shows the end of the body
	finished    bool
	cut         error // the end of the stream was read, but is not that of the body
}

// Read reads the body. io.EOF means that the body is complete; every other error is ErrNoResponse.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	if err == nil {
		return n, nil
	}
	if errors.Is(err, io.EOF) && r.untilClose && !r.finished {
		// The failed write of the request may have taken the error of a connection that was reset.
		r.cut = intact.Verify(r.conn.Conn, r.writeResult, false)
	}
	if r.cut != nil {
		err = r.cut
	}
	if errors.Is(err, io.EOF) {
		r.finish(true)
		return n, io.EOF
	}
	r.finish(false)
	return n, errors.Wrap(ErrNoResponse, err.Error())
}

// ReadAll reads the whole body. It returns an error and closes the response if the body has more than limit bytes.
func (r *Response) ReadAll(limit int64) ([]byte, error) { return r.ReadShare(new(mem.Share), limit) }

// ReadShare is ReadAll for a body that is part of a share of memory, which may have no room for it.
func (r *Response) ReadShare(share *mem.Share, limit int64) ([]byte, error) {
	b, err := share.ReadAll(r, limit)
	if errors.Is(err, mem.ErrTooLong) {
		err = errors.Wrapf(ErrBodyTooLong, "more than %d bytes", limit)
	}
	if err != nil {
		r.Close()
		return nil, err
	}
	return b, nil
}

// Close aborts the connection, unless the body was read to the end.
func (r *Response) Close() { r.finish(false) }

// finish returns the connection to the pool if the exchange is complete and the connection can be reused, and aborts
// it otherwise.
func (r *Response) finish(complete bool) {
	if r.finished {
		return
	}
	r.finished = true
	sent := false
	select {
	case err := <-r.writeResult:
		sent = err == nil
	default:
	}
	if !r.stopAbort() || !complete || !sent || !r.keepAlive || r.conn.br.Buffered() > 0 {
		r.conn.abort()
		return
	}
	r.pool.put(r.conn)
}

// readResponse reads the header of the response to the request. It skips informational responses and up to maxSkipped
// responses to other requests.
func (p *Pool) readResponse(c *conn, r *Request) (*Response, error) {
	for range maxSkipped + 1 {
		c.limit.start(maxHeadBytes)
		res, err := http.ReadResponse(c.br, &http.Request{Method: r.Method})
		if err != nil {
			return nil, err
		}
		c.limit.stop()
		if err := intact.CheckStatus(res.StatusCode); err != nil {
			return nil, err
		}
		if res.StatusCode < http.StatusOK {
			continue
		}
		id := res.Header.Get(p.IDHeader)
		if id == r.ID || id == "" && !c.reused {
			return newResponse(c, res), nil
		}
		if p.Skipped != nil {
			p.Skipped(c.addr, id, res.StatusCode)
		}
		if err := skipBody(res); err != nil {
			return nil, err
		}
	}
	return nil, errors.New("received only responses to other requests")
}

// skipBody reads the body of a response to another request.
func skipBody(res *http.Response) error {
	chunked := len(res.TransferEncoding) > 0
	if res.ContentLength > maxSkippedBytes || res.ContentLength < 0 && !chunked {
		return errors.Errorf("response to another request has a body of %d bytes", res.ContentLength)
	}
	n, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxSkippedBytes+1))
	if err == nil && n > maxSkippedBytes {
		err = errors.Errorf("response to another request has a body of more than %d bytes", maxSkippedBytes)
	}
	return errors.Wrap(err, "skip response to another request")
}

// newResponse returns the response to the current request and sets the idle limit of its connection.
func newResponse(c *conn, res *http.Response) *Response {
	c.maxIdle = parseKeepAlive(res.Header.Get("Keep-Alive"))
	unframed := res.ContentLength < 0 && len(res.TransferEncoding) == 0
	return &Response{
		Status: res.StatusCode, Header: res.Header, Length: res.ContentLength, body: res.Body,
		LocalAddr: c.LocalAddr().String(), Earlier: c.requests - 1,
		keepAlive:  !res.Close && !unframed && res.Request.Method != http.MethodHead,
		untilClose: unframed && res.Request.Method != http.MethodHead,
	}
}

// parseKeepAlive returns how long a connection may stay idle, from the value of a Keep-Alive header such as timeout=5.
func parseKeepAlive(v string) time.Duration {
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
