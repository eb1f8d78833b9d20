package opcli_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"github.com/figreel/figreel/internal/docrev"
	"github.com/figreel/figreel/internal/kvapi/kvfake"
	"github.com/figreel/figreel/internal/opcli"
	"github.com/figreel/figreel/internal/oper"
	"github.com/figreel/figreel/internal/stats"
	"github.com/figreel/figreel/internal/wire"
	"github.com/figreel/figreel/pkg/envdoc"
)

const key = "operator-secret"

// Starts the operator API of the only host of an environment; returns its URL and the host's key-value store.
func startHost(t *testing.T, environment string) (string, *kvfake.Store) {
	t.Helper()
	kv := kvfake.New()
	replicator := &docrev.Replicator{
		Environment: environment, Self: wire.Member{Name: environment}, KV: kv.Client("a"), Stats: &stats.Set{},
		Members: func() []wire.Member { return nil }, Apply: func(*envdoc.Doc, int64) error { return nil },
		Log: zerolog.Nop(),
	}
	go func() { _ = replicator.Run(t.Context()) }()
	sum := sha256.Sum256([]byte(key))
	api := &oper.Server{
		Name: environment, KeySHA256: []string{hex.EncodeToString(sum[:])},
		DocumentStore: replicator, Stats: replicator.Stats, Log: replicator.Log,
		Hosts:  func() []wire.Member { return []wire.Member{{Name: "host-9", State: wire.Leaving}} },
		Drain:  func(context.Context, oper.DrainRequest) error { return nil },
		Status: func() oper.Status { return oper.Status{Host: environment, Config: replicator.Status()} },
	}
	h, err := api.Handler()
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return server.URL, kv
}

// Runs a command and returns its output and exit code.
func runCommand(args ...string) (string, int) {
	var out bytes.Buffer
	root := &cli.Command{
		Name: "figreel", Commands: opcli.Commands(), Writer: &out, ErrWriter: &out,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	err := root.Run(context.Background(), append([]string{"figreel"}, args...))
	if err == nil {
		return out.String(), 0
	}
	var exit cli.ExitCoder
	if errors.As(err, &exit) {
		return out.String() + err.Error(), exit.ExitCode()
	}
	return out.String() + err.Error(), opcli.ExitError
}

func writeDocument(t *testing.T, environment, class string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), environment+".yaml")
	body := "environment: " + environment + "\nclasses: [{name: " + class + ", total_ms: 1}]\n"
	if err := os.WriteFile(file, []byte(body), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// Guards against wrong exit codes and output of the commands, from the check of a document to its promotion.
// One host refuses connections and one resets them, for errors before and after a request was sent.
func TestCommands(t *testing.T) {
	t.Setenv("FIGREEL_KEY", key)
	trial, _ := startHost(t, "trial")
	production, kv := startHost(t, "production")
	resetting := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(resetting.Close)
	const refusing = "http://127.0.0.1:1"
	one, two := writeDocument(t, "trial", "one"), writeDocument(t, "trial", "two")
	live := writeDocument(t, "production", "live")
	bad := writeDocument(t, "trial", "'a b'")
	for _, tt := range []struct {
		args string
		code int
		want string
	}{
		{"check " + one, 0, "no findings"},
		{"check " + bad, 2, bad + ":2: classes[0].name: \"a b\" is not a name"},
		{"check --output json " + bad, 2, `"field": "classes[0].name"`},
		{"check --settings " + one, 2, "classes: unknown field"},
		{"check", 1, "expected one argument"},
		{"check /none.yaml", 1, "no such file"},
		{"apply " + one, 1, "base"},
		{"apply --host " + refusing + " --host " + trial + " --base 0 " + one, 0, "accepted as revision 1"},
		{"apply --host " + trial + " --base 0 " + one, 0, "accepted as revision 1"},
		{"apply --host " + trial + " --base 0 " + two, 3, "conflict: revision 1 is change"},
		{"apply --host " + trial + " --base 9 " + two, 1, "base revision does not exist"},
		{"apply --host " + trial + " --base 1 " + live, 2, "document is for environment"},
		{"apply --host " + refusing + " --base 1 " + two, 1, "connection refused"},
		{"apply --host " + resetting.URL + " --base 1 " + two, 4, "outcome_unknown"},
		{"apply --host " + resetting.URL + " --host " + trial + " --base 1 --author ann " + two, 0, "revision 2"},
		{"diff --host " + trial + " " + one, 0, "+ classes[one]"},
		{"history --host " + trial, 0, "ann (key "},
		{"history --host " + trial + " --show 1", 0, "classes: [{name: one"},
		{"history --host " + trial + " --show 5", 1, "not_found"},
		{"promote --from " + trial + " --host " + production, 1, "no document is active yet"},
		{"apply --host " + production + " --base 0 " + live, 0, "revision 1"},
		{"promote --from " + trial + " --host " + production, 0, "- classes[live]"},
		{"promote --from " + trial + " --host " + production + " --yes", 0, "accepted as revision 2"},
		{"history --host " + production + " --show 2", 0, "environment: production"},
		{"status --host " + production + " --output json", 0, `"revision": 2`},
		{"status --host " + production, 0, "document revision 2"},
		{"status --host " + production + " --output xml", 1, "--output must be json or text"},
		{"hosts --host " + production, 0, "leaving"},
		{"drain --host " + trial + " --host " + production + " host production", 0, "drain of host production accepted"},
		{"drain --host " + trial + " host production", 1, "other_host"},
		{"drain upstream", 1, "expected: drain upstream NAME"},
		{"hosts", 1, "no host given"},
		{"apply --help", 0, "figreel apply --base 41 production.yaml"},
	} {
		out, code := runCommand(strings.Fields(tt.args)...)
		if code != tt.code || !strings.Contains(out, tt.want) {
			t.Errorf("%s: exit code %d, output\n%s\nwant %d and %s", tt.args, code, out, tt.code, tt.want)
		}
	}
	kv.SetOutage(true)
	out, code := runCommand("apply", "--host", production, "--base", "2", live)
	if code != opcli.ExitError || !strings.Contains(out, "kv_unavailable") {
		t.Errorf("outage: exit code %d, %s", code, out)
	}
	t.Setenv("FIGREEL_KEY", "wrong")
	if out, code := runCommand("hosts", "--host", trial); code != opcli.ExitError ||
		!strings.Contains(out, "unauthorized") {
		t.Errorf("wrong key: exit code %d, %s", code, out)
	}
}
