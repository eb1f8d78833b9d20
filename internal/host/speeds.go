package host

import (
	"time"

	"github.com/figreel/figreel/internal/speed"
)

// publishSpeeds exports a summary of the speeds that the scheduler assumes of engines, in percent of the usual one.
func (s *ticketService) publishSpeeds() {
	for name, value := range map[string]func(speed.Summary) int64{
		"engines_measured":     func(m speed.Summary) int64 { return m.Measured },
		"engines_slow_now":     func(m speed.Summary) int64 { return m.Slow },
		"engine_speed_lowest":  func(m speed.Summary) int64 { return m.Lowest },
		"engine_speed_median":  func(m speed.Summary) int64 { return m.Median },
		"engine_speed_highest": func(m speed.Summary) int64 { return m.Highest },
	} {
		s.stats.SetGaugeFunc(name, func() int64 {
			s.mu.Lock()
			defer s.mu.Unlock()
			return value(s.scheduler.SpeedSummary(time.Now()))
		})
	}
}
