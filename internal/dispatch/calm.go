package dispatch

import (
	"time"

	"github.com/lentilyard/lentilyard/internal/submission"
)

// Where workers crash by themselves, an innocent task may have only just started on several of them. A task that one more crash would give
// up therefore waits until they have stopped: a crash after that tells more. It is not started more often for that.

const (
	// calmTime is how long after a crash without a suspect such a task waits. The platform wants endless tasks back 7 s after the last
	// fault.
	calmTime = 5 * time.Second
	// maxCalmWait is how long it waits at most between two starts.
	maxCalmWait = 10 * time.Second
)

// calmWait is the wait of a task after one of its attempts.
type calmWait struct {
	attempt uint32
	since   time.Duration
}

// awaitsCalm reports whether a task that one more crash would give up waits since workers have crashed without a suspect. An endless task does
// not wait once it has been away for calmTime.
func (l *Leader) awaitsCalm(task submission.Ref, t *submission.Task, endless bool, now time.Duration) bool {
	if l.unexplainedAt == 0 || now >= l.unexplainedAt+calmTime || !t.MayReachLimit(int(t.Unproven)+1) {
		return false
	}
	if endless && l.outage(task, now) >= calmTime {
		return false
	}
	wait, ok := l.calmWaits[task]
	if !ok || wait.attempt != t.Attempt {
		wait = calmWait{t.Attempt, now}
		l.calmWaits[task] = wait
	}
	return now-wait.since < maxCalmWait
}
