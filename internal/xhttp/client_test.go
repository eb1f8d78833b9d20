package xhttp_test

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/emul/fault"
	"github.com/figreel/figreel/internal/emul/memnet"
	"github.com/figreel/figreel/internal/xhttp"
)

// TestNoAutomaticRetry guards against net/http sending a request again when its connection breaks.
func TestNoAutomaticRetry(t *testing.T) {
	for _, tt := range []struct {
		name   string
		method string
		body   any
	}{
		{"POST with a body", http.MethodPost, 1},
		{"POST without a body", http.MethodPost, nil},
		{"GET", http.MethodGet, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var n memnet.Net
				var injector fault.Injector
				noRecord := func() any { return nil }
				respond := func(w http.ResponseWriter, _ *http.Request) { fault.WriteJSON(w, http.StatusOK, struct{}{}) }
				defer n.Serve("a:80", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					injector.Serve(w, r, respond, noRecord)
				}))()
				c := &xhttp.Client{Dial: n.Dial}
				for _, path := range []string{"/warm", "/drop"} {
					r, err := xhttp.NewRequest(t.Context(), tt.method, "http://a:80"+path, tt.body)
					if err != nil {
						t.Fatal(err)
					}
					// net/http retries any request with this header if it can read the body again.
					r.Header.Set("Idempotency-Key", "k")
					resp, err := c.Do(r)
					var re *xhttp.RequestError
					if path == "/drop" && (!errors.As(err, &re) || !re.MaybeSent) {
						t.Errorf("got %v, want a RequestError with MaybeSent", err)
					}
					if err == nil {
						_ = xhttp.DecodeJSON(resp, 10, new(struct{}))
					}
					injector.Set(fault.Spec{DropRequest: true})
				}
				if got := injector.Requests("/drop"); got != 1 {
					t.Errorf("%d requests arrived, want 1", got)
				}
			})
		})
	}
}

// TestDecodeJSON guards against a truncated, oversized or wrongly typed response that is accepted as valid.
func TestDecodeJSON(t *testing.T) {
	cases := []struct {
		name, contentType, body, want string
	}{
		{"complete", "application/json; charset=utf-8", `{"a":1}`, ""},
		{"truncated", "application/json", `{"a":`, "unexpected end"},
		{"oversized", "application/json", `{"a":1}` + strings.Repeat(" ", 20), "longer than 20 bytes"},
		{"no JSON", "text/html", `{"a":1}`, "content type"},
		{"wrong type", "application/json", `{"a":"1"}`, "cannot unmarshal"},
	}
	for _, tc := range cases {
		synctest.Test(t, func(t *testing.T) {
			var n memnet.Net
			var injector fault.Injector
			injector.Set(fault.Spec{Response: &fault.Response{Status: 200, ContentType: tc.contentType, Body: []byte(tc.body)}})
			noHandler := func(http.ResponseWriter, *http.Request) {}
			defer n.Serve("a:80", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				injector.Serve(w, r, noHandler, func() any { return nil })
			}))()
			c := &xhttp.Client{Dial: n.Dial}
			r, err := xhttp.NewRequest(t.Context(), http.MethodGet, "http://a:80/", nil)
			if err != nil {
				t.Fatal(err)
			}
			resp, err := c.Do(r)
			if err != nil {
				t.Fatal(err)
			}
			var out struct {
				A int `json:"a"`
			}
			err = xhttp.DecodeJSON(resp, 20, &out)
			if tc.want == "" && (err != nil || out.A != 1) {
				t.Errorf("%s: got %+v, %v", tc.name, out, err)
			}
			if tc.want != "" && (err == nil || !strings.Contains(err.Error(), tc.want)) {
				t.Errorf("%s: got %v, want %q", tc.name, err, tc.want)
			}
		})
	}
}
