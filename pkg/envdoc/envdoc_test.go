package envdoc_test

import (
	"errors"
	"reflect"
	"strings"
	"testing"

	"github.com/figreel/figreel/pkg/envdoc"
	"github.com/figreel/figreel/pkg/find"
)

const base = `environment: trial
weight_store: {loads_per_s: 1.5, at_once: 6, adapters_in_transit: 50}
classes:
  - {name: chat, first_token_ms: 400, per_token_ms: 30}
callers:
  - name: web
    key_sha256: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa
    failure_domain: fd-1
models:
  - {name: m1, version: v1, pool: p1, memory_mb: 600, class: chat}
  - {name: m2, version: v1, pool: p1, memory_mb: 300, class: chat}
adapters:
  - {name: a1, version: v1, model: m1, memory_mb: 50}
pools:
  - name: p1
    engines:
      - {name: e1, url: "http://127.0.0.1:1", failure_domain: fd-1, memory_mb: 1200, kv_reserve_mb: 200}
      - {name: e2, url: "http://127.0.0.1:2", failure_domain: fd-2, memory_mb: 1200, kv_reserve_mb: 200}
services:
  - name: charge
    class: chat
    not_repeatable: true
    upstreams: [{name: u1, url: "https://127.0.0.1:3/x", failure_domain: fd-1}]
`

func parse(t testing.TB, body string) *envdoc.Doc {
	t.Helper()
	d, err := envdoc.Parse("base.yaml", []byte(body))
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// Guards against accepting an invalid document, and against findings with a wrong line or field.
func TestParseFindings(t *testing.T) {
	for _, tt := range []struct{ old, replacement, want string }{
		{"environment: trial", "environment: a/b", `x:1: environment: "a/b" is not a name`},
		{"environment: trial\n", "", `x:0: environment: is required`},
		{"trial\n", "trial\nextra: 1\n", `x:2: extra: unknown field`},
		{"trial\n", "trial\nenvironment: prod\n", `x:2: environment: is already set at line 1`},
		{"trial\n", "trial\n\t- [", `x:2: document: found a tab character`},
		{"at_once: 6", "at_once: six", `x:2: weight_store.at_once: must be a whole number, is "six"`},
		{"1.5", "-.inf", `x:2: weight_store.loads_per_s: must be greater than 0`},
		{"1.5", ".nan", `x:2: weight_store.loads_per_s: must be greater than 0`},
		{", first_token_ms: 400", "", `x:4: classes[0]: class "chat" has no target`},
		{"aaaa", "AAAA", `x:7: callers[0].key_sha256: must be a SHA-256 digest`},
		{"domain: fd-1\nmodels", "domain: fd-9\nmodels", `x:8: callers[0].failure_domain: no engine or upstream`},
		{"pool: p1, memory_mb: 600", "pool: p9, memory_mb: 600", `x:10: models[0].pool: pool "p9" does not exist`},
		{"600, class: chat", "600, class: c9", `x:10: models[0].class: class "c9" does not exist`},
		{"600, class: chat", "600", `x:10: models[0].class: is required`},
		{"memory_mb: 600", "memory_mb: -1", `x:10: models[0].memory_mb: must be at least 1, is -1`},
		{", memory_mb: 600", "", `x:10: models[0].memory_mb: must be at least 1, is 0`},
		{"memory_mb: 600", "memory_mb: 9000000000000000000", `x:10: models[0].memory_mb: must be at most`},
		{"600,", "600, min_copies: 0,", `x:10: models[0].min_copies: must be at least 1, is 0`},
		{"name: a1", "name: m2", `x:13: adapters[0].name: "m2" is already used at line 11 (models[1].name)`},
		{"model: m1", "model: m9", `x:13: adapters[0].model: model "m9" does not exist`},
		{"name: p1\n    engines:", "name: p1\n    engines: []\n    x:", `x:16: pools[0].engines: pool "p1" has no engines`},
		{"name: e2", "name: e1", `x:18: pools[0].engines[1].name: "e1" is already used at line 17`},
		{"127.0.0.1:2", "127.0.0.1:1", `x:18: pools[0].engines[1].url: "http://127.0.0.1:1" is already used`},
		{"http://127.0.0.1:2", "127.0.0.1:2", `x:18: pools[0].engines[1].url: "127.0.0.1:2" is not an http`},
		{"http://127.0.0.1:2", "http://u:p@h", `x:18: pools[0].engines[1].url: "http://u:p@h" must not hold cred`},
		{"200}\n      -", "1200}\n      -", `x:17: pools[0].engines[0].kv_reserve_mb: leaves nothing`},
		{"name: u1", "name: e1", `x:23: services[0].upstreams[0].name: "e1" is the name of an engine`},
		{"not_repeatable: true", "require_key: true", `x:22: services[0].require_key: applies only`},
		{"[{name: u1", "&a [{name: u1", `x:23: services[0].upstreams: anchors and aliases are not supported`},
		{"services:", "services: {}\nx:", `x:19: services: must be a list`},
		// Placement: a model too large for any engine, an adapter too large beside its model, more replicas than engines,
		// and not enough memory for all items together.
		{"memory_mb: 600", "memory_mb: 1001", `x:10: models[0].memory_mb: 1001 MB exceed every engine of pool "p1"`},
		{"memory_mb: 50", "memory_mb: 401", `x:13: adapters[0].memory_mb: 401 MB beside the 600 MB of model "m1"`},
		{"memory_mb: 50", "memory_mb: 50, min_copies: 3", `x:13: adapters[0].min_copies: 3 copies need as many engines`},
		{"memory_mb: 300", "memory_mb: 401", `x:11: models[1].min_copies: pool "p1" has room for only 0 of 2 copies`},
		{"memory_mb: 50", "memory_mb: 101", `x:13: adapters[0].min_copies: pool "p1" has room for only 0 of 2 copies`},
	} {
		body := strings.Replace(base, tt.old, tt.replacement, 1)
		_, err := envdoc.Parse("x", []byte(body))
		if err == nil || !strings.Contains(err.Error(), tt.want) {
			t.Errorf("%s -> %s: findings\n%v\nwant %s", tt.old, tt.replacement, err, tt.want)
		}
	}
}

// Guards against a check that stops at the first finding.
func TestParseReportsAllFindings(t *testing.T) {
	body := strings.NewReplacer("name: e2", "nam: e2", "at_once: 6", "at_once: []", "m1, memory", "m9, memory").Replace(base)
	_, err := envdoc.Parse("x", []byte(body))
	var list *find.List
	if !errors.As(err, &list) || len(list.Findings) != 4 {
		t.Errorf("findings\n%v\nwant 4: wrong type, unknown field, missing name, unknown model", err)
	}
}

// Guards against a first-fit placement that packs models so tightly that their adapters no longer fit beside them.
func TestPlacementLeavesMemoryForAdapters(t *testing.T) {
	body := strings.NewReplacer("memory_mb: 600", "memory_mb: 500, min_copies: 1",
		"memory_mb: 300", "memory_mb: 400, min_copies: 1", "memory_mb: 50}", "memory_mb: 400, min_copies: 1}").Replace(base)
	parse(t, body)
}

// Guards against defaults that are not set.
func TestParseDefaults(t *testing.T) {
	d := parse(t, base)
	got := []any{
		d.Once.RetentionS, d.Callers[0].Share, d.Models[0].MinCopies, d.Adapters[0].MinCopies, d.Adapters[0].Class,
		d.Pools[0].OrderHorizonS, d.Pools[0].Engines[1].MaxSeqs, d.Services[0].TimeoutMS,
	}
	want := []any{86400, 1, 2, 2, "chat", 60, 16, 30000}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("defaults %v, want %v", got, want)
	}
}

// Guards against a target of an adapter that lacks the model or the model's pool.
func TestTargets(t *testing.T) {
	targets := parse(t, base).Targets()
	want := envdoc.Target{Pool: "p1", Model: "m1@v1", Adapter: "a1@v1", Class: "chat"}
	if targets["a1"] != want || targets["m2"].Model != "m2@v1" || len(targets) != 3 {
		t.Errorf("targets %v", targets)
	}
}

// Guards against promoting callers, engines or upstreams into another environment, and against a diff that misses
// changes.
func TestPromoteAndDiff(t *testing.T) {
	trial := parse(t, base)
	production := parse(t, strings.NewReplacer("trial", "production", "name: web", "name: shop", "v1, pool", "v0, pool",
		"127.0.0.1:1", "127.0.0.9:1", "127.0.0.1:3", "127.0.0.9:3", "  - {name: m2, version: v1, pool: p1, memory_mb: 300, class: chat}\n", "").Replace(base))
	var got []string
	for _, c := range envdoc.Diff(production, envdoc.Promote(trial, production)) {
		got = append(got, c.String())
	}
	want := []string{
		`~ models[m1].version: "v0" -> "v1"`,
		`+ models[m2]: {"name":"m2","version":"v1","pool":"p1","memory_mb":300,"min_copies":2,"class":"chat","not_repeatable":false}`,
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("promotion changed\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}

// Guards against panics, findings without a field, and accepted documents that change when encoded and parsed again.
func FuzzParse(f *testing.F) {
	f.Add([]byte(base))
	f.Fuzz(func(t *testing.T, body []byte) {
		d, err := envdoc.Parse("x", body)
		var list *find.List
		if errors.As(err, &list) {
			for _, f := range list.Findings {
				if f.File != "x" || f.Field == "" || f.Reason == "" {
					t.Fatalf("finding without file, field or reason: %+v", f)
				}
			}
			return
		}
		encoded, err := d.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if changes := envdoc.Diff(d, parse(t, string(encoded))); len(changes) > 0 {
			t.Fatalf("encoding and parsing changed the document: %v", changes)
		}
	})
}
