package steps

import (
	"math"
	"time"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/submission"
)

// Throttle is a change of the speed at which a filling task may run.
type Throttle struct {
	Task    submission.Ref
	Attempt uint32
	// Percent is the new speed, in percent of full speed.
	Percent int
	// Image is the image of the task. ServiceImage is that of the service that limits its speed, "unknown" if all filling tasks
	// are stopped, or empty at full speed.
	Image, ServiceImage string
	// Move is true if the task should be moved once another worker can take it. It saves its progress when it is stopped.
	Move bool
}

// FillingTask is a filling task that runs on the same worker as the services.
type FillingTask struct {
	Task    submission.Ref
	Attempt uint32
	Step    *pb.Step
	// Share is the share of the worker's CPU time that the task uses now, Declared the one that its step declares.
	Share, Declared float64
	// Percent is the speed at which it may run now, in percent of full speed.
	Percent int
}

const (
	// targetUtilization is the utilization of a service at which filling tasks are throttled to hold it. At a utilization of
	// 0.8 its tail latency reaches the limit.
	targetUtilization = 0.74
	// overLimit is the tail ratio of a service from which the filling tasks that slow it down are stopped at once.
	overLimit = 1.0
	// minChange is the least change of speed, in percent of full speed, that is worth a call to the worker.
	minChange = 12
	// moveBelow is the speed, in percent, below which a task that saves its progress should move.
	moveBelow = 40
	// initialShare is the least share of a worker's CPU time that a filling task is assumed to use at full speed as long as
	// there is no usable reading of its use.
	initialShare = 0.05
)

// ComputeThrottles returns the changes of the speeds at which the filling tasks of a worker may run, given readings of its
// services. It is meant for load that swings within seconds: the filling tasks that slow down a service run at the speed
// that keeps its utilization below targetUtilization, and stop while it exceeds its tail limit.
//
// overFor is how long some service has exceeded its tail limit without a break. Once it reaches patience, all filling
// tasks stop: the weights then do not explain the cause.
func ComputeThrottles(p *Pressure, serving []ServiceReading, filling []FillingTask, overFor, patience time.Duration) []Throttle {
	var throttles []Throttle
	for _, f := range filling {
		wanted := 100
		cause := ""
		if overFor >= patience {
			wanted, cause = 0, "unknown"
		}
		for _, s := range serving {
			if percent := allowedPercent(p, s, f, filling); percent < wanted {
				wanted, cause = percent, s.Image
			}
		}
		changed := wanted - f.Percent
		if changed == 0 || changed < minChange && changed > -minChange && wanted != 0 && wanted != 100 {
			continue
		}
		throttles = append(throttles, Throttle{Task: f.Task, Attempt: f.Attempt, Percent: wanted, Image: f.Step.GetImage(), ServiceImage: cause,
			Move: wanted < moveBelow && f.Step.GetCheckpoints()})
	}
	return throttles
}

// allowedPercent returns the speed, in percent, at which f may run on the same worker as s. It is the same for all filling
// tasks that slow down s.
func allowedPercent(p *Pressure, s ServiceReading, f FillingTask, filling []FillingTask) int {
	if p.Weight(s.Image, f.Step.GetImage()) <= negligibleWeight {
		return 100
	}
	if s.Ratio >= overLimit {
		return 0
	}
	totalWeight := 0.0
	for _, other := range filling {
		if w := p.Weight(s.Image, other.Step.GetImage()); w > negligibleWeight {
			totalWeight += w * other.fullSpeedShare()
		}
	}
	base := p.Base(s.Task)
	headroom := targetUtilization/base - 1
	return int(100 * math.Max(0, math.Min(1, headroom/totalWeight)))
}

// fullSpeedShare is the share of the worker's CPU time that a filling task would use at full speed.
func (f FillingTask) fullSpeedShare() float64 {
	if f.Percent < minChange || f.Share == 0 {
		return math.Max(f.Declared, initialShare)
	}
	return math.Min(f.Declared, f.Share*100/float64(f.Percent))
}
