package apigw

import (
	"net/http/httptest"
	"testing"

	"github.com/figreel/figreel/internal/idem"
)

// Guards against a stored response whose status ends the handler in a panic, or is passed on although no response has
// it.
func TestStoredStatus(t *testing.T) {
	for _, status := range []int{0, 99, 600, 999} {
		w := httptest.NewRecorder()
		if err := writeResponse(w, &idem.Response{Status: status}); err == nil {
			t.Errorf("status %d was sent", status)
		}
	}
}
