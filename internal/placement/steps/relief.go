package steps

import (
	"math"
	"time"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/submission"
)

// Throttle is how fast a filling task may work.
type Throttle struct {
	Task    submission.Ref
	Attempt uint32
	Percent int
	// Image is that of the task, Serving that of the endless task on which it presses.
	Image, Serving string
	// Move is true if the task should leave the worker once another one has a place for it; it saves its progress when it is
	// stopped.
	Move bool
}

// FillingTask is a filling task beside it.
type FillingTask struct {
	Task    submission.Ref
	Attempt uint32
	Step    *pb.Step
	// Share of the worker's processor time that it uses now, and the one that it asks for.
	Share, Declared float64
	// Percent is the share at which it may work now.
	Percent int
}

const (
	// targetBusy is the busy share of an endless task up to which filling tasks may press on it. At 0.8 its tail reaches
	// the limit.
	targetBusy = 0.74
	// overLimit is the reading of a tail, as a share of its limit, at which what presses on the task stops at once.
	overLimit = 1.0
	// leastChange is the change of a share, in percent, that is worth a call.
	leastChange = 12
	// movingBelow is the share, in percent, below which a task that saves its progress is moved away.
	movingBelow = 40
	// startingShare is the share of a worker that a filling task is taken to use before there is a reading.
	startingShare = 0.05
)

// ComputeThrottles decides at which share of their speed the filling tasks of a worker may work, given readings of its endless
// tasks. It answers load that swings within seconds: what presses on an endless task works at the share that keeps the
// task below targetBusy, and stops while the task is over its limit.
//
// overFor is how long an endless task has been over its limit without a break; when that has been so for patience, the
// cause is not known well enough and all filling tasks stop work.
func ComputeThrottles(p *Pressure, serving []ServiceReading, filling []FillingTask, overFor, patience time.Duration) []Throttle {
	var shares []Throttle
	for _, f := range filling {
		wanted := 100
		cause := ""
		if overFor >= patience {
			wanted, cause = 0, "unknown"
		}
		for _, s := range serving {
			if percent := allowed(p, s, f, filling); percent < wanted {
				wanted, cause = percent, s.Image
			}
		}
		changed := wanted - f.Percent
		if changed == 0 || changed < leastChange && changed > -leastChange && wanted != 0 && wanted != 100 {
			continue
		}
		shares = append(shares, Throttle{Task: f.Task, Attempt: f.Attempt, Percent: wanted, Image: f.Step.GetImage(), Serving: cause,
			Move: wanted < movingBelow && f.Step.GetCheckpoints()})
	}
	return shares
}

// allowed returns the share, in percent, at which f may work beside s: all filling tasks that press on s get the same.
func allowed(p *Pressure, s ServiceReading, f FillingTask, filling []FillingTask) int {
	if p.Weight(s.Image, f.Step.GetImage()) <= harmlessWeight {
		return 100
	}
	if s.Ratio >= overLimit {
		return 0
	}
	pressing := 0.0
	for _, other := range filling {
		if w := p.Weight(s.Image, other.Step.GetImage()); w > harmlessWeight {
			pressing += w * other.fullShare()
		}
	}
	base := p.Base(s.Task)
	room := targetBusy/base - 1
	return int(100 * math.Max(0, math.Min(1, room/pressing)))
}

// fullShare is the share of the worker that a filling task would use at full speed.
func (f FillingTask) fullShare() float64 {
	if f.Percent < leastChange || f.Share == 0 {
		return math.Max(f.Declared, startingShare)
	}
	return math.Min(f.Declared, f.Share*100/float64(f.Percent))
}
