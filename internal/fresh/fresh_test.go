package fresh_test

import (
	"testing"
	"time"

	"github.com/figreel/figreel/internal/fresh"
	"github.com/figreel/figreel/internal/store"
)

// Guards against a copy that counts as newer than the store or another host has confirmed: by a response that was read
// late, by rounding, or by a host that has a newer item.
func TestConfirmations(t *testing.T) {
	const at, wait = time.Hour, time.Second
	v := func(era, revision int64) store.Version { return store.Version{Era: era, Revision: revision} }
	for _, tt := range []struct {
		name string
		do   func(c *fresh.Copy)
		want time.Duration
	}{
		{"list", func(c *fresh.Copy) { c.NoteList(at) }, at},
		{"full wait", func(c *fresh.Copy) { c.NoteWatch(at, at+wait+1, wait, false) }, at + wait},
		{"full wait, read late", func(c *fresh.Copy) { c.NoteWatch(at, at+time.Minute, wait, false) }, at + wait},
		{"early", func(c *fresh.Copy) { c.NoteWatch(at, at+wait-1, wait, false) }, at},
		{"changes", func(c *fresh.Copy) { c.NoteWatch(at, at+time.Minute, wait, true) }, at},
		{"older", func(c *fresh.Copy) { c.NoteList(at); c.NoteList(at - 1) }, at},
		{"other host", func(c *fresh.Copy) { c.Merge(at, &fresh.State{Revision: 5, ConfirmedMS: -20}, v(0, 5)) }, at - 20e6},
		{"newer item", func(c *fresh.Copy) { c.Merge(at, &fresh.State{Revision: 6}, v(0, 5)) }, 0},
		{"newer era", func(c *fresh.Copy) { c.Merge(at, &fresh.State{Era: 1, Revision: 2}, v(0, 5)) }, 0},
		{"no statement", func(c *fresh.Copy) { c.Merge(at, nil, v(0, 5)) }, 0},
	} {
		c := &fresh.Copy{RevokeTime: 5 * time.Second}
		if tt.do(c); c.ConfirmedAt() != tt.want {
			t.Errorf("%s: confirmed at %v, want %v", tt.name, c.ConfirmedAt(), tt.want)
		}
	}
	c := &fresh.Copy{RevokeTime: 5 * time.Second}
	c.NoteList(at)
	for _, late := range []time.Duration{1, -1, 1500 * time.Microsecond, -1500 * time.Microsecond} {
		s := c.State(at+late, func() store.Version { return v(0, 5) })
		stated := time.Duration(s.ConfirmedMS) * time.Millisecond
		if stated > -late || -late-stated >= time.Millisecond {
			t.Errorf("stated %v instead of %v", stated, -late)
		}
	}
}
