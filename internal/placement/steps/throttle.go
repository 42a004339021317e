package steps

import (
	"cmp"
	"math"
	"slices"
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
	targetUtilization = 0.80
	// throttleHorizon is how far ahead of the last reading a throttle looks: until the next one takes effect.
	throttleHorizon = time.Second
	// overLimit is the tail ratio of a service from which the filling tasks that slow it down are stopped at once.
	overLimit = 1.0
	// strongWeight is the weight above which filling tasks are throttled for a service, or not placed beside it. Delaying
	// weaker ones would cost their callers more than it gains for the service.
	strongWeight = 1.0
	// minChange is the least change of speed, in percent of full speed, that is worth a call to the worker.
	minChange = 12
	// moveBelow is the speed, in percent, below which a task that saves its progress should move.
	moveBelow = 40
	// initialShare is the least share of a worker's CPU time that a filling task is assumed to use at full speed as long as
	// there is no usable reading of its use.
	initialShare = 0.05
	// usageTolerance is the relative error of a reading of the use of a filling task.
	usageTolerance = 0.10
	// usageNoise is what a filling task may use, in percent of what its step declares, while its speed limit is 0.
	usageNoise = 10
)

// ComputeThrottles returns the changes of the speeds at which the filling tasks of a worker may run, given readings of its
// services. It is meant for load that swings within seconds: the filling tasks run at the speeds that keep the utilization
// of each service below targetUtilization, and those that slow it down strongly stop while it exceeds its tail limit.
//
// overFor is how long some service has exceeded its tail limit without a break. Once it reaches patience, all filling
// tasks stop: the weights then do not explain the cause.
func ComputeThrottles(p *Pressure, serving []ServiceReading, filling []FillingTask, overFor, patience time.Duration) []Throttle {
	budgets := headrooms(p, serving)
	var throttles []Throttle
	for _, f := range byWeight(p, budgets, filling) {
		wanted, cause := budgets.spend(p, f)
		if overFor >= patience {
			wanted, cause = 0, "unknown"
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

// headroom is what filling tasks may add to the utilization of the services of one image on a worker.
type headroom struct {
	image string
	// left is a multiple of the utilization without filling tasks.
	left float64
	// over is true if one of the services exceeds its tail limit.
	over bool
}

type headroomList []headroom

// headrooms returns the headroom of each service image: that of its service with the highest expected load.
func headrooms(p *Pressure, serving []ServiceReading) headroomList {
	var list headroomList
	for _, s := range serving {
		left := math.Max(0, targetUtilization/p.Base(s.Task, throttleHorizon)-1)
		i := slices.IndexFunc(list, func(h headroom) bool { return h.image == s.Image })
		if i < 0 {
			list, i = append(list, headroom{image: s.Image, left: left}), len(list)
		}
		list[i].left = math.Min(list[i].left, left)
		list[i].over = list[i].over || s.Ratio >= overLimit
	}
	return list
}

// byWeight orders filling tasks by how strongly they slow down the services, the weakest first, since the weakest get the
// most CPU time out of the headroom. Tasks of equal weight keep their present order of speeds, so that few speeds change.
func byWeight(p *Pressure, services headroomList, filling []FillingTask) []FillingTask {
	strongest := func(f FillingTask) float64 {
		weight := 0.0
		for _, h := range services {
			weight = math.Max(weight, p.assumedWeight(h.image, f.Step.GetImage()))
		}
		return weight
	}
	ordered := slices.Clone(filling)
	slices.SortFunc(ordered, func(a, b FillingTask) int {
		return cmp.Or(cmp.Compare(strongest(a), strongest(b)), cmp.Compare(b.Percent, a.Percent), a.Task.Compare(b.Task))
	})
	return ordered
}

// spend takes the headroom for a filling task and returns the speed, in percent, at which the task may run, and the service
// image that limits it.
func (l headroomList) spend(p *Pressure, f FillingTask) (percent int, cause string) {
	allowed, share := 1.0, f.fullSpeedShare()
	for _, h := range l {
		weight := p.assumedWeight(h.image, f.Step.GetImage())
		if weight <= strongWeight {
			continue
		}
		here := h.left / (weight * share)
		if h.over {
			here = 0
		}
		if here < allowed {
			allowed, cause = here, h.image
		}
	}
	for i := range l {
		l[i].left = math.Max(0, l[i].left-allowed*share*p.assumedWeight(l[i].image, f.Step.GetImage()))
	}
	return int(fullSpeed * allowed), cause
}

// fullSpeed is the speed, in percent, of a filling task that is not throttled.
const fullSpeed = 100

// UsedPercent is the processor time that a filling task uses, in percent of what its step declares.
func (f FillingTask) UsedPercent() int {
	if f.Declared == 0 {
		return 0
	}
	return int(math.Ceil(f.Share / f.Declared * 100))
}

// ExceedsLimit reports whether a filling task uses more processor time than its speed limit allows, so that the limit is not in force.
func (f FillingTask) ExceedsLimit() bool {
	return float64(f.UsedPercent()) > float64(f.Percent)*(1+usageTolerance)+usageNoise
}

// fullSpeedShare is the share of the worker's CPU time that a filling task would use at full speed.
func (f FillingTask) fullSpeedShare() float64 {
	if f.Percent < minChange || f.Share == 0 {
		return math.Max(f.Declared, initialShare)
	}
	return math.Min(f.Declared, f.Share*100/float64(f.Percent))
}
