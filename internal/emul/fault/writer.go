package fault

import "net/http"

type (
	// writer applies the faults that concern an answer on its way.
	writer struct {
		http.ResponseWriter
		r       *http.Request
		control *Injector
		left    int // writes until the connection is cut; 0 means never
	}

	// discard takes an answer that is not sent.
	discard struct {
		header http.Header
	}
)

// Write sends b unless the answer is frozen, and cuts the connection when its time has come.
func (w *writer) Write(b []byte) (int, error) {
	if c := w.control.frozen(w.r.URL.Path); c != nil {
		wait(w.r.Context(), c)
	}
	n, err := w.ResponseWriter.Write(b)
	if w.left > 0 {
		w.left--
		if w.left == 0 {
			w.Flush()
			panic(http.ErrAbortHandler)
		}
	}
	return n, err
}

// Flush sends what has been written.
func (w *writer) Flush() { _ = http.NewResponseController(w.ResponseWriter).Flush() }

// Header returns headers that are not sent.
func (d discard) Header() http.Header { return d.header }

// WriteHeader does nothing.
func (d discard) WriteHeader(int) {}

// Write does nothing.
func (d discard) Write(b []byte) (int, error) { return len(b), nil }
