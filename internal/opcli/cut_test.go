package opcli_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/figreel/figreel/internal/emul/script"
	"github.com/figreel/figreel/internal/opcli"
)

// Guards against a change that the command reports as accepted although the response of the host is cut or has a status
// that no response has.
func TestResponseThatIsNone(t *testing.T) {
	t.Setenv("FIGREEL_KEY", key)
	tlsConfig, ca := script.TLS()
	caFile, file := filepath.Join(t.TempDir(), "ca.pem"), writeDocument(t, "trial", "one")
	author := strings.Repeat("x", 16<<20)
	if err := os.WriteFile(caFile, ca, 0o600); err != nil {
		t.Fatal(err)
	}
	const body = "\n\n{\"revision\": 7}"
	type row struct {
		script.Cut
		response string
	}
	rows := make([]row, 0, len(script.Cuts)+len(script.BadStatuses))
	for _, cut := range script.Cuts {
		rows = append(rows, row{cut, "HTTP/1.1 200 OK" + body})
	}
	for _, status := range script.BadStatuses {
		cut := script.Cut{Name: "status " + status, ReadAll: true, CloseFirst: true}
		rows = append(rows, row{cut, "HTTP/1.1 " + status + " X\nContent-Length: 0\n\nHTTP/1.1 200 OK" + body})
	}
	for _, tt := range rows {
		for _, scheme := range []string{"http", "https"} {
			t.Run(fmt.Sprint(tt.Name, ", ", scheme), func(t *testing.T) {
				s := &script.Cutter{Cut: tt.Cut, Response: tt.response}
				if scheme == "https" {
					s.TLS = tlsConfig
				}
				addr, err := s.Listen()
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = s.Close() }()
				out, code := runCommand("apply", "--ca-file", caFile, "--host", scheme+"://"+addr, "--base", "1",
					"--author", author, file)
				want := opcli.ExitOutcomeUnknown
				if tt.Complete {
					want = 0
				}
				if code != want {
					t.Errorf("exit code %d, want %d: %.300s", code, want, out)
				}
			})
		}
	}
}
