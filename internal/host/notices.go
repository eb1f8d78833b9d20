package host

import "github.com/figreel/figreel/internal/notice"

// logNotice logs and counts a statement of an upstream that has begun or ended.
func (h *Host) logNotice(c notice.Change) {
	if c.Frequent {
		return
	}
	msg, event := "statement of upstream begun", "notice_begun/"
	if !c.Active {
		msg, event = "statement of upstream ended", "notice_ended/"
	}
	h.Stats.CountEvent(event + string(c.Kind))
	h.Log.Info().Str("upstream", c.Instance.ID).Int64("boot", c.Instance.Boot).Str("kind", string(c.Kind)).
		Float64("limit", c.Limit).Dur("hold_ms", c.Hold).Str("via", c.Via).Msg(msg)
}
