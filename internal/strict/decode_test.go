package strict_test

import (
	"reflect"
	"testing"

	"github.com/figreel/figreel/internal/strict"
	"github.com/figreel/figreel/pkg/find"
)

type sample struct {
	Text string  `yaml:"text"`
	Rate float64 `yaml:"rate" default:"0.5"`
	Flag bool    `yaml:"flag"`
	List []item  `yaml:"list"`
}

type item struct {
	N int `yaml:"n" default:"7"`
}

// Guards against YAML that is ignored without a finding, or reported with a wrong line or field.
func TestDecode(t *testing.T) {
	for _, tt := range []struct{ body, want string }{
		{"text: a\nlist:\n  - {}\n  - n: 3", ""},
		{"text: 1.10", ""},
		{"", "x:0: document: is empty"},
		{"- a", "x:1: document: must be a mapping"},
		{"text: a\n---\ntext: b", "x:2: document: a file holds only one YAML document"},
		{"text: [a]", "x:1: text: must be text"},
		{"flag: maybe\nrate: x", "x:1: flag: must be true or false, is \"maybe\"\nx:2: rate: must be a number, is \"x\""},
		{"list:\n  - n: 1.5", "x:2: list[0].n: must be a whole number, is \"1.5\""},
		{"list:\n  - n: 1\n    m: 2", "x:3: list[0].m: unknown field"},
		{"[a]: 1", "x:1: document: a field name must be text"},
		{"list: &l []\ntext: *l", "x:1: list: anchors and aliases are not supported\n" +
			"x:2: text: anchors and aliases are not supported"},
	} {
		list := &find.List{File: "x"}
		var s sample
		strict.Decode(list, []byte(tt.body), &s)
		if got := list.Error(); got != tt.want {
			t.Errorf("%q: findings %q, want %q", tt.body, got, tt.want)
		}
	}
}

// Guards against defaults that are not set for list items, defaults that overwrite values of the file, and defaults
// that differ from those of a file without fields.
func TestDefaults(t *testing.T) {
	var empty sample
	strict.Decode(&find.List{}, []byte("{}"), &empty)
	if s := strict.Default[sample](); s.Rate != 0.5 || !reflect.DeepEqual(s, empty) {
		t.Errorf("defaults %+v, want %+v", s, empty)
	}
	var s sample
	decoded := strict.Decode(&find.List{}, []byte("list:\n  - {}\n  - n: 3\n  -"), &s)
	if s.Rate != 0.5 || s.List[0].N != 7 || s.List[1].N != 3 || s.List[2].N != 7 {
		t.Errorf("decoded %+v", s)
	}
	if decoded.Line("list[1].n") != 3 || decoded.Line("list[0].n") != 2 || decoded.Line("rate") != 0 {
		t.Errorf("lines %d %d %d", decoded.Line("list[1].n"), decoded.Line("list[0].n"), decoded.Line("rate"))
	}
}
