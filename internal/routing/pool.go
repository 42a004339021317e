package routing

import (
	"math"
	"time"

	"github.com/lentilyard/lentilyard/internal/pb"
)

const (
	// poolLatencyWeight is the weight of one sample in the latency of the pool. It is far below that
	// of one executor: requests of very different sizes would otherwise move the estimate of the wait
	// several times up and down within one queue length.
	poolLatencyWeight = 1.0 / 128
	// deviations above the mean are allowed for an answer, as for the retransmission timer of TCP.
	deviations = 3
	// slotCacheTime bounds the age of the slot count used to estimate waits.
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
	// deviation is the moving average of the distance from latency in seconds.
	deviation float64
	samples   int

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

// list puts e into or out of the executors with a free slot.
func (p *pool) list(e *executor, now time.Time) {
	usable := e.usable(now)
	switch {
	case usable && e.index < 0:
		e.index = len(p.picker.available)
		p.picker.available = append(p.picker.available, e)
	case !usable && e.index >= 0:
		p.unlist(e)
	}
}

func (p *pool) unlist(e *executor) {
	last := len(p.picker.available) - 1
	moved := p.picker.available[last]
	p.picker.available[e.index] = moved
	moved.index = e.index
	p.picker.available[last] = nil
	p.picker.available = p.picker.available[:last]
	e.index = -1
}

func (p *pool) remove(e *executor) {
	if e.index >= 0 {
		p.unlist(e)
	}
	for i, other := range p.executors {
		if other == e {
			p.executors = append(p.executors[:i], p.executors[i+1:]...)
			return
		}
	}
}

// slots returns the usable slots of all leased executors, and their number.
func (p *pool) slots(now time.Time) (slots, executors uint32) {
	for _, e := range p.executors {
		if !e.leased(now) || e.draining || e.health.setAside {
			continue
		}
		slots += e.limit()
		executors++
	}
	p.cachedSlots, p.cachedExecutors, p.cachedAt = slots, executors, now
	return slots, executors
}

func (p *pool) recentSlots(now time.Time) (slots, executors uint32) {
	if now.Sub(p.cachedAt) < slotCacheTime && p.cachedExecutors > 0 {
		return p.cachedSlots, p.cachedExecutors
	}
	return p.slots(now)
}

func (p *pool) load(now time.Time) *pb.ServiceLoad {
	load := &pb.ServiceLoad{Service: p.service, Queued: uint32(p.queued())}
	load.Slots, load.Executors = p.slots(now)
	for _, e := range p.executors {
		if e.leased(now) {
			load.InFlight += e.inFlight
		}
	}
	return load
}

// admit refuses a request whose deadline cannot be met.
func (p *pool) admit(r *Request, now time.Time) error {
	slots, executors := p.recentSlots(now)
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

// expectedWait estimates the time until a new request gets a slot.
func (p *pool) expectedWait(r *Request, slots uint32) time.Duration {
	ahead := p.queue(r.Urgent).ahead(r.Member, r.Weight)
	if !r.Urgent {
		ahead += float64(p.urgent.size)
	}
	seconds := (ahead + 1) * p.latency / float64(max(slots, 1))
	return time.Duration(seconds * float64(time.Second))
}

// serviceTime is the time within which most requests are answered. With the mean alone, requests
// admitted shortly before their deadline were broken off, which leaves slots reserved.
func (p *pool) serviceTime() time.Duration {
	return time.Duration((p.latency + deviations*p.deviation) * float64(time.Second))
}

// victim returns the line whose newest request gives way to r when the queue is full: the longest for
// its weight, if r is urgent or its member has fewer waiting. Nil: r has no claim.
func (p *pool) victim(r *Request) *line {
	worst := p.normal.longest()
	if worst == nil || r.Urgent {
		return worst
	}
	own := 0.0
	if l := p.normal.lines[r.Member]; l != nil {
		own = float64(len(l.waiting))
	}
	if (own+1)/float64(max(r.Weight, 1)) >= worst.share() {
		return nil
	}
	return worst
}
