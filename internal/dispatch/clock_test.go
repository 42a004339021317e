package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a call that a later incarnation carried out and that counts as carried out by its predecessor, and against an
// incarnation that is taken for its successor.
func TestJudgeReading(t *testing.T) {
	const at = time.Hour
	last := leaseState{clockMs: 50_000, clockAt: at}
	for name, c := range map[string]struct {
		clockMs     int64
		sent, ended time.Duration
		want        reading
	}{
		"goes on":                     {50_105, at + 100*time.Millisecond, at + 110*time.Millisecond, readingSame},
		"goes on, 2 % slow":           {51_960, at + 2*time.Second, at + 2*time.Second, readingSame},
		"last reading was on its way": {50_890, at + 100*time.Millisecond, at + 110*time.Millisecond, readingSame},
		"overtaken by the last one":   {49_920, at - 80*time.Millisecond, at + 10*time.Millisecond, readingSame},
		"behind":                      {900, at + 100*time.Millisecond, at + 110*time.Millisecond, readingOther},
		"a little behind":             {49_900, at + 100*time.Millisecond, at + 110*time.Millisecond, readingOther},
		"stands still":                {50_001, at + time.Second, at + time.Second, readingOther},
		"ahead":                       {90_000, at + time.Second, at + time.Second, readingOther},
		"a little ahead":              {51_000, at + 100*time.Millisecond, at + 110*time.Millisecond, readingOther},
		"no reading":                  {0, at + time.Second, at + time.Second, readingOpen},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(last.judgeReading(c.clockMs, c.sent, c.ended), c.want)
		})
	}
	is.New(t).Equal(leaseState{}.judgeReading(900, at, at), readingOpen)
}

// Guards against leases that are granted by the clock of a later incarnation, which has refused a call as too late by that clock.
func TestOtherClockIsNotRecorded(t *testing.T) {
	is := is.New(t)
	s := &session{leaseState: leaseState{clockMs: 50_000, clockAt: time.Hour}}
	is.Equal(s.readClock(9_000_000, time.Hour+time.Second, time.Hour+time.Second), readingOther)
	is.Equal(s.clockMs, int64(50_000))
	is.Equal(s.readClock(51_000, time.Hour+time.Second, time.Hour+time.Second), readingSame)
	is.Equal(s.clockMs, int64(51_000))
}

// Guards against a leader that takes the answer of the new incarnation of a worker for that of the former one, and does not ask which
// one it is until the hold to the former one times out.
func TestSuccessorThatAnswersStartIsFoundAtOnce(t *testing.T) {
	withHarness(t, time.Hour, []string{"a", "b"}, func(is *is.I, r *harness) {
		r.startOnSuccessor(is, func(f *fakeWorker) { f.holdUnanswered, f.pollUnanswered = false, true })
		time.Sleep(100 * time.Millisecond)
		is.Equal(r.leader.knownWorker("a").GetBornUnixMs(), int64(77))
	})
}
