package steps

import (
	"fmt"
	"slices"
	"strings"
)

// obstacle is why a worker does not take a task.
type obstacle int

const (
	noObstacle obstacle = iota
	notUsable
	noCores
	noMemory // nor accelerators
	wrongLabel
	tooManyOfStep
	avoided
	notAllowed
	busy
	strained
	pressed
	kept
	obstacles // number of obstacles
)

var obstacleNames = [obstacles]string{"", "not-usable", "no-cores", "no-memory", "label", "max-per-worker", "avoided", "policy", "busy", "service-over-limit", "presses-on-service", "kept-for-service"}

// admits returns why no task of r may start on w now.
func (p *planning) admits(w *Worker, r *Request) obstacle {
	spec := r.Spec
	switch {
	case !w.Usable || w.Pool != r.Pool:
		return notUsable
	case counted(spec).Cores > w.Capacity.Cores-w.used.Cores:
		return noCores
	case !counted(spec).Fits(w.Capacity.Minus(w.used)):
		return noMemory
	case spec.GetLabel() != "" && !slices.Contains(w.Labels, spec.GetLabel()):
		return wrongLabel
	case spec.GetMaxPerWorker() > 0 && w.perStep[r.key()] >= int(spec.GetMaxPerWorker()):
		return tooManyOfStep
	case r.Advised && !r.Allowed[w.Life.ID]:
		return notAllowed
	case !spec.GetFills() && w.keptFor != "" && w.keptFor != r.Submission:
		return kept
	case !spec.GetFills():
		return noObstacle
	case w.load+expectedLoad(spec) > fillLimit*float64(w.Capacity.Cores):
		return busy
	}
	return p.bears(w, r)
}

// bears returns why the endless tasks on w may not stay within their limits beside one more filling task. The longer a
// task waits, the more is risked: relief slows it if it presses, which is better than not starting it at all.
func (p *planning) bears(w *Worker, r *Request) obstacle {
	ahead, limit := p.goesAhead(r), p.riskOf(r)
	for i := range w.services {
		s := &w.services[i]
		if s.tasks == 0 {
			continue
		}
		if s.ratio >= overLimit {
			return strained
		}
		if ahead {
			continue
		}
		weight := p.Pressure.pressing(s.image, r.Spec.GetImage())
		if weight == 0 {
			continue
		}
		if s.ratio > strainLimit || s.base*(1+s.pressure)+usualBase*weight*w.share(r.Spec) > limit {
			return pressed
		}
	}
	return noObstacle
}

// goesAhead reports whether one task of an idle submission starts even if it presses on a service that is within its limit.
// In a busy pool it waits its turn: many submissions that go ahead would press on all services.
func (p *planning) goesAhead(r *Request) bool {
	return r.Idle && p.waited(r) >= idlePatience && !p.started[r.Submission] && p.usage[r.Pool] < busyPool
}

// riskOf returns the predicted busy share of an endless task up to which a filling task of r may start beside it.
func (p *planning) riskOf(r *Request) float64 {
	return min(riskLimit, pressureLimit+riskRate*max(0, p.waited(r)-patience))
}

// waited returns the seconds for which a request has been ready.
func (p *planning) waited(r *Request) float64 { return float64(p.NowUnixMs-r.ReadyUnixMs) / 1000 }

// describe names the obstacles that were found and the number of workers with each.
func describe(found [obstacles]int) string {
	var parts []string
	for o, n := range found {
		if n > 0 {
			parts = append(parts, fmt.Sprintf("%s:%d", obstacleNames[o], n))
		}
	}
	return strings.Join(parts, ",")
}
