package steps

import (
	"cmp"
	"slices"
	"time"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/submission"
)

// Share is how fast a filling task may work.
type Share struct {
	Task    submission.Ref
	Attempt uint32
	Percent int
	// Image and Weight say why: the image of the task, and what it is taken to add to the busy share.
	Image  string
	Weight float64
	// Move is true if the task should leave the worker; it has saved its progress or will do so when it is stopped.
	Move bool
}

// Filling is a filling task beside it.
type Filling struct {
	Task    submission.Ref
	Attempt uint32
	Step    *pb.Step
	// Share of the worker's processor time that it uses now.
	Share float64
	// Percent is the share at which it may work now.
	Percent int
}

const (
	// reliefAt is the reading of a tail, as a share of its limit, at which filling tasks that press on it are slowed.
	reliefAt = 0.8
	// suspectAt is the reading at which a filling task that does not seem to press is slowed as well.
	suspectAt = 1.0
	// movingPress is the busy share that a task must add for it to be moved away; a lesser one is only slowed, since a
	// move costs a stop, a restart and a new place.
	movingPress = 0.12
	// resumeAt is the reading below which they may speed up again.
	resumeAt = 0.75
	// resumeStep is the share, in percent, that a task regains with each good reading.
	resumeStep = 34
)

// Relieve decides what the filling tasks of a worker may do, given readings of its endless tasks. It answers a load
// that swings within seconds: slow down first, take away what can move without loss, speed up again in steps.
//
// overFor is how long an endless task has been over its limit without a break; when that has been so for patience, the
// cause is not known well enough and all filling tasks stop work.
func Relieve(p *Pressure, serving []Serving, filling []Filling, overFor, patience time.Duration) []Share {
	worst := Serving{}
	for _, s := range serving {
		if s.Ratio > worst.Ratio {
			worst = s
		}
	}
	switch {
	case len(filling) == 0:
		return nil
	case overFor >= patience:
		return stopAll(filling)
	case worst.Ratio >= reliefAt:
		return slowDown(p, serving, filling)
	case worst.Ratio < resumeAt:
		return speedUp(filling)
	}
	return nil
}

// slowDown stops the work of the filling tasks that press most on the endless tasks above reliefAt, until the
// prediction for each of them is below pressureLimit.
func slowDown(p *Pressure, serving []Serving, filling []Filling) []Share {
	var shares []Share
	for _, s := range serving {
		if s.Ratio < reliefAt {
			continue
		}
		order := slices.Clone(filling)
		press := func(f Filling) float64 { return baseBefore * p.Weight(s.Image, f.Step.GetImage()) * f.Share }
		slices.SortStableFunc(order, func(a, b Filling) int { return cmp.Compare(press(b), press(a)) })
		excess := Busy(s.Ratio) - pressureLimit
		for _, f := range order {
			if excess <= 0 {
				break
			}
			if f.Percent == 0 || slices.ContainsFunc(shares, func(o Share) bool { return o.Task == f.Task }) {
				continue
			}
			pressing := p.Weight(s.Image, f.Step.GetImage()) > harmlessWeight
			if !pressing && (len(shares) > 0 || s.Ratio < suspectAt) {
				break // one at a time finds a cause that is not known yet
			}
			excess -= press(f)
			shares = append(shares, Share{Task: f.Task, Attempt: f.Attempt, Percent: 0, Image: f.Step.GetImage(),
				Weight: p.Weight(s.Image, f.Step.GetImage()), Move: press(f) > movingPress && f.Step.GetCheckpoints()})
		}
	}
	return shares
}

func stopAll(filling []Filling) []Share {
	var shares []Share
	for _, f := range filling {
		if f.Percent > 0 {
			shares = append(shares, Share{Task: f.Task, Attempt: f.Attempt, Percent: 0, Image: f.Step.GetImage()})
		}
	}
	return shares
}

func speedUp(filling []Filling) []Share {
	var shares []Share
	for _, f := range filling {
		if f.Percent < 100 {
			shares = append(shares, Share{Task: f.Task, Attempt: f.Attempt, Percent: min(100, f.Percent+resumeStep)})
		}
	}
	return shares
}
