package dispatch

import "time"

// The clock of each incarnation of a worker starts anew, at any time. An answer that does not name its incarnation is identified by the
// reading of the clock in it.

// reading is what the reading of a clock in an answer tells about the incarnation that has answered.
type reading int

const (
	readingOpen  reading = iota // nothing: there is no reading, or none to compare it with
	readingSame                 // the clock goes on from the last reading: the same incarnation has answered
	readingOther                // the clock does not go on from the last reading: a later incarnation may have answered
)

// clockRounding is how far rounding may move a reading.
const clockRounding = 2 * time.Millisecond

// judgeReading compares a reading in the answer to a call with the last one. sent and at are when the call was sent and answered.
func (c leaseState) judgeReading(clockMs int64, sent, at time.Duration) reading {
	if clockMs == 0 || c.clockMs == 0 {
		return readingOpen
	}
	advanced := time.Duration(clockMs-c.clockMs) * time.Millisecond
	least, most := sent-c.clockAt, at-c.clockAt+holdSlack // the last reading may have been on its way for so long
	drift := time.Duration(clockDrift * float64(max(least.Abs(), most.Abs())))
	if least-drift-clockRounding <= advanced && advanced <= most+drift+clockRounding {
		return readingSame
	}
	return readingOther
}

// readClock returns what the reading of a clock in the answer to a call tells about the incarnation that has answered, and records it
// unless another one may have. sent and at are when the call was sent and answered.
func (s *session) readClock(clockMs int64, sent, at time.Duration) reading {
	s.mu.Lock()
	defer s.mu.Unlock()
	answered := s.judgeReading(clockMs, sent, at)
	if answered != readingOther {
		s.recordClock(clockMs, at)
	}
	return answered
}

// recordClock records a reading of the clock of this incarnation that arrived at the given time. Readings that do not advance the clock
// are ignored.
func (c *leaseState) recordClock(clockMs int64, at time.Duration) {
	if clockMs > c.clockMs {
		c.clockMs, c.clockAt = clockMs, at
	}
}

// delayOf returns for how long an answer that arrived at the given time was on its way at least: the time since the last reading by which the
// clock did not advance. It is 0 if there is no last reading.
func (c leaseState) delayOf(clockMs int64, at time.Duration) time.Duration {
	if c.clockMs == 0 {
		return 0
	}
	return max(0, at-c.clockAt-time.Duration(clockMs-c.clockMs)*time.Millisecond)
}
