package steps

import (
	"fmt"
	"strings"
)

// obstacle is a reason why a worker cannot take a task.
type obstacle int

const (
	noObstacle obstacle = iota
	notUsable
	noCores
	noMemory // or no accelerators
	wrongLabel
	maxPerWorkerReached
	avoidedWorker
	excludedByPolicy
	cpuFull
	serviceOverLimit
	slowsService
	reservedForService
	suspectStarting
	otherStarting
	keptForFinite
	numObstacles
)

// obstacleNames are the names of the obstacles in Wait.Obstacles.
var obstacleNames = [numObstacles]string{"", "not-usable", "no-cores", "no-memory", "label", "max-per-worker", "avoided", "policy", "busy", "service-over-limit", "presses-on-service", "kept-for-service", "suspect-starting", "other-starting", "kept-for-finite"}

// obstacleFor returns why no task of r may start on w now, or noObstacle if one may.
func (p *planner) obstacleFor(w *Worker, r *Request) obstacle {
	spec := r.Spec
	switch {
	case !w.Usable || w.Pool != r.Pool:
		return notUsable
	case w.probationOf != "" && w.probationOf != r.Submission:
		return suspectStarting
	case ReservedSize(spec).Cores > w.Capacity.Cores-w.used.Cores:
		return noCores
	case !ReservedSize(spec).Fits(w.Capacity.Minus(w.used)):
		return noMemory
	case !w.hasLabelFor(r):
		return wrongLabel
	case spec.GetMaxPerWorker() > 0 && w.perStep[r.key()] >= int(spec.GetMaxPerWorker()):
		return maxPerWorkerReached
	case r.Advice != nil && !r.Allowed[w.Incarnation.ID]:
		return excludedByPolicy
	case !spec.GetFills() && w.reservedFor != "" && w.reservedFor != r.Submission && !r.overdue(p.NowUnixMs):
		return reservedForService
	case !p.leavesFiniteRoom(w, r):
		return keptForFinite
	case !spec.GetFills():
		return noObstacle
	case ReservedSize(spec).Memory > w.Capacity.Memory-w.used.Memory-w.reservedMemory:
		return reservedForService
	case w.load+expectedLoad(spec) > maxExpectedLoad*float64(w.Capacity.Cores) && !p.starves(r):
		return cpuFull
	}
	return p.serviceObstacle(w, r)
}

// serviceObstacle returns why the services on w may exceed their tail limits if a filling task of r starts there, or
// noObstacle. The limit on the predicted utilization rises while a request waits: a task that is started and then
// throttled is better than one that is never started.
func (p *planner) serviceObstacle(w *Worker, r *Request) obstacle {
	bypass, limit := p.bypassesPressure(r), p.utilizationLimitFor(r)
	for i := range w.services {
		s := &w.services[i]
		if s.tasks == 0 {
			continue
		}
		if s.ratio >= overLimit {
			return serviceOverLimit
		}
		if bypass {
			continue
		}
		weight := p.Pressure.assumedWeight(s.image, r.Spec.GetImage())
		if weight <= strongWeight {
			continue
		}
		pressure := s.pressure + weight*w.cpuShare(r.Spec)
		if s.base*(1+pressure) > limit {
			return slowsService
		}
	}
	return noObstacle
}

// bypassesPressure reports whether one task of an idle submission may start although it slows down a service that is
// within its tail limit. It may not in a busy pool, where many such submissions would slow down all services.
func (p *planner) bypassesPressure(r *Request) bool {
	return p.starves(r) || r.Idle && p.waitedSeconds(r) >= idleDelay && !p.started[r.Submission] && p.usage[r.Pool] < busyPoolUsage
}

// starves reports whether one task of an idle submission of filling work may start although the processor time is used up. In a long
// backlog of filling tasks the smaller ones use up whatever the others leave, and a large one would never start. Filling tasks reserve no
// cores, so that those that run only become slower.
func (p *planner) starves(r *Request) bool {
	return r.Idle && r.Spec.GetFills() && p.waitedSeconds(r) >= starvedDelay && !p.started[r.Submission] && p.reserved[r.Pool] < busyPoolUsage
}

// utilizationLimitFor returns the predicted utilization of a service up to which a filling task of r may start on the
// same worker.
func (p *planner) utilizationLimitFor(r *Request) float64 {
	return min(maxUtilizationLimit, utilizationLimit+utilizationLimitRate*max(0, p.waitedSeconds(r)-utilizationLimitDelay))
}

// waitedSeconds returns for how many seconds a request has been ready.
func (p *planner) waitedSeconds(r *Request) float64 { return float64(p.NowUnixMs-r.ReadyUnixMs) / 1000 }

// formatObstacles lists the obstacles that were found, with the number of workers for each.
func formatObstacles(found [numObstacles]int) string {
	var parts []string
	for o, n := range found {
		if n > 0 {
			parts = append(parts, fmt.Sprintf("%s:%d", obstacleNames[o], n))
		}
	}
	return strings.Join(parts, ",")
}
