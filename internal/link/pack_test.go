package link_test

import (
	"fmt"
	"reflect"
	"testing"

	"github.com/figreel/figreel/internal/link"
	"github.com/figreel/figreel/internal/store"
)

// Guards against a state that arrives with other items than were sent, and against one that is sent uncompressed although
// a whole fleet gets it.
func TestPack(t *testing.T) {
	for _, tt := range []struct {
		name   string
		items  int
		packed bool
	}{
		{"a few items", 3, false},
		{"the items of a fleet", 300, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := link.PrefixState{Prefix: "up/", Revision: 7, Delta: true}
			for i := range tt.items {
				value := fmt.Sprintf(`{"service":"llm","models":["a","b"],"on_disk":["a","b","c","d"],"sequence":%d}`, i)
				it := store.Item{Key: fmt.Sprint("up/", i), Value: []byte(value), Revision: int64(i)}
				s.Events = append(s.Events, store.Event{Item: it})
			}
			want := s
			if err := s.Pack(); err != nil {
				t.Fatal(err)
			}
			if got := len(s.Packed) > 0; got != tt.packed {
				t.Errorf("packed %t, want %t", got, tt.packed)
			}
			if size := len(s.Packed); size > tt.items*40 {
				t.Errorf("%d bytes for %d items", size, tt.items)
			}
			if !s.HasChanges() {
				t.Error("the state has no changes")
			}
			if err := s.Unpack(); err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(s, want) {
				t.Errorf("got %+v", s)
			}
		})
	}
	s := link.PrefixState{Packed: []byte("not compressed")}
	if err := s.Unpack(); err == nil {
		t.Error("no error for a state that is not compressed")
	}
}
