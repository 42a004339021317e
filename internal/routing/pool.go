package routing

import (
	"math"
	"time"

	"github.com/lentilyard/lentilyard/internal/pb"
)

const (
	// poolLatencyWeight is the weight of one sample in the latency of the pool. It is far below
	// sampleWeight: otherwise requests of very different sizes would make the estimated wait swing up
	// and down several times while one queue is served.
	poolLatencyWeight = 1.0 / 128
	// serviceDeviations is the number of mean deviations added to the mean latency to estimate the
	// service time, similar to the retransmission timeout of TCP.
	serviceDeviations = 3
	// slotCacheTime is the maximum age of the cached slot count that estimates of the wait use.
	slotCacheTime = 20 * time.Millisecond
)

// pool holds the executors of one service. Guarded by Table.mu.
type pool struct {
	service   string
	executors []*executor
	picker    Picker
	urgent    fairQueue
	normal    fairQueue
	// latency is the moving average over all executors in seconds.
	latency float64
	// deviation is the moving average of the absolute difference from latency in seconds.
	deviation float64
	samples   int

	// The result of the last call of usableSlots, and its time.
	cachedSlots, cachedExecutors uint32
	cachedAt                     time.Time
}

func (p *pool) recordLatency(d time.Duration) {
	p.samples++
	weight := max(poolLatencyWeight, 1/float64(p.samples))
	difference := d.Seconds() - p.latency
	p.latency += weight * difference
	if p.samples > 1 {
		p.deviation += weight * (math.Abs(difference) - p.deviation)
	}
}

func (p *pool) queued() int { return p.urgent.size + p.normal.size }

func (p *pool) queue(urgent bool) *fairQueue {
	if urgent {
		return &p.urgent
	}
	return &p.normal
}

// updateAvailable adds e to the available executors if it is usable, and removes it otherwise.
func (p *pool) updateAvailable(e *executor, now time.Time) {
	usable := e.usable(now)
	switch {
	case usable && e.availableIndex < 0:
		e.availableIndex = len(p.picker.available)
		p.picker.available = append(p.picker.available, e)
	case !usable && e.availableIndex >= 0:
		p.removeAvailable(e)
	}
}

// removeAvailable removes e from the available executors by moving the last one to its place.
func (p *pool) removeAvailable(e *executor) {
	last := len(p.picker.available) - 1
	moved := p.picker.available[last]
	p.picker.available[e.availableIndex] = moved
	moved.availableIndex = e.availableIndex
	p.picker.available[last] = nil
	p.picker.available = p.picker.available[:last]
	e.availableIndex = -1
}

func (p *pool) remove(e *executor) {
	if e.availableIndex >= 0 {
		p.removeAvailable(e)
	}
	for i, other := range p.executors {
		if other == e {
			p.executors = append(p.executors[:i], p.executors[i+1:]...)
			return
		}
	}
}

// usableSlots returns the total slot limit of all executors that may get requests, and the number of these
// executors.
func (p *pool) usableSlots(now time.Time) (slots, executors uint32) {
	for _, e := range p.executors {
		if !e.leased(now) || e.draining || e.health.ejected {
			continue
		}
		slots += e.limit()
		executors++
	}
	p.cachedSlots, p.cachedExecutors, p.cachedAt = slots, executors, now
	return slots, executors
}

// recentUsableSlots returns the result of usableSlots, which may be up to slotCacheTime old.
func (p *pool) recentUsableSlots(now time.Time) (slots, executors uint32) {
	if now.Sub(p.cachedAt) < slotCacheTime && p.cachedExecutors > 0 {
		return p.cachedSlots, p.cachedExecutors
	}
	return p.usableSlots(now)
}

func (p *pool) load(now time.Time) *pb.ServiceLoad {
	load := &pb.ServiceLoad{Service: p.service, Queued: uint32(p.queued())}
	load.Slots, load.Executors = p.usableSlots(now)
	for _, e := range p.executors {
		if e.leased(now) {
			load.InFlight += e.inFlight
		}
	}
	return load
}

// admit returns ErrNoExecutor if the pool has no usable executor, or ErrDeadline if the estimated wait
// and service time exceed the time left.
func (p *pool) admit(r *Request, now time.Time) error {
	slots, executors := p.recentUsableSlots(now)
	if executors == 0 {
		return ErrNoExecutor
	}
	if r.Deadline.IsZero() {
		return nil
	}
	need := p.expectedWait(r, slots) + p.serviceTime()
	if left := r.Deadline.Sub(now); left <= 0 || left < need {
		return ErrDeadline.With("%v left, %v needed given %d queued requests", left, need, p.queued())
	}
	return nil
}

// expectedWait estimates the time until a new request would get a slot.
func (p *pool) expectedWait(r *Request, slots uint32) time.Duration {
	ahead := p.queue(r.Urgent).ahead(r.Member, r.Weight)
	if !r.Urgent {
		ahead += float64(p.urgent.size)
	}
	seconds := (ahead + 1) * p.latency / float64(max(slots, 1))
	return time.Duration(seconds * float64(time.Second))
}

// serviceTime returns the time within which most requests are served. The mean alone is too low: it
// admits requests that then exceed their deadline, and such requests leave slots reserved.
func (p *pool) serviceTime() time.Duration {
	return time.Duration((p.latency + serviceDeviations*p.deviation) * float64(time.Second))
}

// victim returns the flow whose newest request is refused in favour of r when the queue is full: the
// longest non-urgent flow relative to its weight. It returns nil, so that r itself is refused, if there
// is no such flow, or if r is not urgent and the flow of its member would be at least as long.
func (p *pool) victim(r *Request) *flow {
	worst := p.normal.longest()
	if worst == nil || r.Urgent {
		return worst
	}
	own := 0.0
	if f := p.normal.flows[r.Member]; f != nil {
		own = float64(len(f.waiting))
	}
	if (own+1)/float64(max(r.Weight, 1)) >= worst.relativeLength() {
		return nil
	}
	return worst
}
