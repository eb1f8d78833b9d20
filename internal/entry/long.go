package entry

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/h1"
	"github.com/figreel/figreel/internal/mem"
)

// holdBody reads the body of a response, at most maxHeldBytes and as long as there is memory for it. It reports whether
// the body is complete; if not, the rest can still be read. After an error the response is closed.
func (c *call) holdBody(res *h1.Response) (body []byte, complete bool, err error) {
	body, err = c.response.ReadAll(res, maxHeldBytes)
	switch {
	case errors.Is(err, mem.ErrTooLong):
		return body, false, nil
	case errors.Is(err, mem.ErrNoMemory):
		c.s.Stats.CountEvent("response_not_held")
		return body, false, nil
	case err != nil:
		res.Close()
		return nil, false, err
	}
	return body, true, nil
}

// passOn sends a response to the caller while it is read, after the start that has been read already. If it breaks
// off or is longer than MaxResponseBytes, the caller's connection is reset, so that it does not look complete.
func (c *call) passOn(res *h1.Response, start []byte) {
	if res.Length > MaxResponseBytes {
		c.fail(http.StatusBadGateway, reasonUpstreamFailed)
		return
	}
	endLimit := c.limitWrites()
	defer endLimit()
	copyHeader(c.w.Header(), res.Header)
	if res.Length >= 0 {
		c.w.Header().Set("Content-Length", strconv.FormatInt(res.Length, 10))
	}
	c.w.WriteHeader(res.Status)
	c.headerSent = true
	sent := len(start)
	_, err := c.w.Write(start)
	buf := make([]byte, streamBufferSize)
	for err == nil && sent <= MaxResponseBytes {
		var n int
		n, err = res.Read(buf)
		sent += n
		if _, failed := c.w.Write(buf[:n]); failed != nil {
			err = failed
		}
	}
	if errors.Is(err, io.EOF) && sent <= MaxResponseBytes {
		c.logEnd(res.Status, "")
		return
	}
	c.truncated = true
	if c.callerLeft() {
		c.logEnd(0, reasonCallerLeft)
	} else {
		c.logBroken(c.tried[len(c.tried)-1], err)
		c.logEnd(0, reasonTruncated)
	}
	c.abort()
}

// limitWrites bounds the time for which a caller that does not read its response keeps what is held for it. It returns
// the function that ends the limit.
func (c *call) limitWrites() (end func()) {
	control := http.NewResponseController(c.w)
	_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
	return func() { _ = control.SetWriteDeadline(time.Time{}) }
}
