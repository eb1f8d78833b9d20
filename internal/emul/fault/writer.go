package fault

import "net/http"

type (
	// faultWriter applies the faults that affect the body of a response: Freeze and CutAfterWrites.
	faultWriter struct {
		http.ResponseWriter
		r          *http.Request
		injector   *Injector
		writesLeft int // writes until the connection is closed; 0 means never
	}

	// discardWriter drops a response that must not be sent.
	discardWriter struct {
		header http.Header
	}
)

// Write waits for the end of a freeze, sends b, and closes the connection after the last write that is allowed.
func (w *faultWriter) Write(b []byte) (int, error) {
	if unfrozen := w.injector.untilUnfrozen(w.r.URL.Path); unfrozen != nil {
		waitUnfrozen(w.r.Context(), unfrozen)
	}
	n, err := w.ResponseWriter.Write(b)
	if w.writesLeft > 0 {
		w.writesLeft--
		if w.writesLeft == 0 {
			w.Flush()
			panic(http.ErrAbortHandler)
		}
	}
	return n, err
}

// Flush sends buffered data to the client.
func (w *faultWriter) Flush() { _ = http.NewResponseController(w.ResponseWriter).Flush() }

// Header returns a header map that is never sent.
func (d discardWriter) Header() http.Header { return d.header }

// WriteHeader drops the status code.
func (d discardWriter) WriteHeader(int) {}

// Write drops b and reports it as written.
func (d discardWriter) Write(b []byte) (int, error) { return len(b), nil }
