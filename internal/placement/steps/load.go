package steps

import (
	"math"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/resources"
)

// endlessLoad is the share of its declared CPU time that an endless task is expected to use.
const endlessLoad = 0.5

// serviceGroup is the sum of the services of one image on a worker.
type serviceGroup struct {
	image string
	tasks int
	// base is the highest utilization of its tasks without filling tasks within the placementHorizon, ratio their highest
	// tail ratio now.
	base, ratio float64
	// pressure is what the filling tasks on the worker add to the utilization, as a multiple of base.
	pressure float64
}

// prepare computes the sums over the residents of the worker.
func (w *Worker) prepare(pressure *Pressure) {
	w.used, w.usedByEndless, w.load, w.pressure, w.reservedFor = resources.Vector{}, resources.Vector{}, 0, pressure, ""
	w.services = w.services[:0]
	w.reservedMemory, w.probationOf = 0, ""
	clear(w.fill)
	clear(w.perStep)
	for i := range w.Residents {
		w.add(&w.Residents[i])
	}
}

// ReservedSize is what a task reserves of the capacity of a worker.
func ReservedSize(step *pb.Step) resources.Vector {
	size := resources.FromProto(step.GetSize())
	if step.GetFills() {
		size.Cores = 0
	}
	return size
}

// expectedLoad is the CPU time that a task is expected to use at full speed, in millicores.
func expectedLoad(step *pb.Step) float64 {
	load := float64(step.GetSize().GetMillicores())
	if step.GetEndless() {
		return endlessLoad * load
	}
	return load
}

// load is the CPU time that a resident is expected to use at its present speed, in millicores.
func (r *Resident) load() float64 { return expectedLoad(r.Step) * (1 - r.ThrottledBy) }

func (w *Worker) add(r *Resident) {
	w.used = w.used.Plus(ReservedSize(r.Step))
	if r.Step.GetEndless() {
		w.usedByEndless = w.usedByEndless.Plus(ReservedSize(r.Step))
	}
	w.load += r.load()
	w.count(r, 1)
	if r.Young && r.Suspect {
		w.probationOf = r.Task.Submission
	}
	if r.Step.GetTailLimitMs() > 0 {
		w.addService(r)
	}
	if r.Step.GetFills() {
		w.addFill(r.Step, 1)
	}
}

// youngBeside returns the number of young residents of other submissions.
func (w *Worker) youngBeside(submission string) int {
	n := 0
	for i := range w.Residents {
		if w.Residents[i].Young && w.Residents[i].Task.Submission != submission {
			n++
		}
	}
	return n
}

// remove subtracts the resident that was added last from the sums.
func (w *Worker) remove(r *Resident) {
	w.used = w.used.Minus(ReservedSize(r.Step))
	if r.Step.GetEndless() {
		w.usedByEndless = w.usedByEndless.Minus(ReservedSize(r.Step))
	}
	w.load -= r.load()
	w.count(r, -1)
	if r.Young && r.Suspect {
		w.probationOf = ""
		for i := range w.Residents[:len(w.Residents)-1] {
			if other := &w.Residents[i]; other.Young && other.Suspect {
				w.probationOf = other.Task.Submission
			}
		}
	}
	if r.Step.GetTailLimitMs() > 0 {
		w.serviceOf(r.Step.GetImage()).tasks--
	}
	if r.Step.GetFills() {
		w.addFill(r.Step, -1)
	}
}

// count adds n to the number of tasks of a step that has a limit per worker.
func (w *Worker) count(r *Resident, n int) {
	if r.Step.GetMaxPerWorker() == 0 {
		return
	}
	if w.perStep == nil {
		w.perStep = map[stepKey]int{}
	}
	w.perStep[keyOf(r.Task)] += n
}

func (w *Worker) addService(r *Resident) {
	s := w.serviceOf(r.Step.GetImage())
	s.tasks++
	s.base = math.Max(s.base, math.Max(w.pressure.Base(r.Task, 0), w.pressure.Base(r.Task, placementHorizon)))
	s.ratio = math.Max(s.ratio, r.TailRatio)
}

// serviceOf returns the group of an image and adds it if necessary.
func (w *Worker) serviceOf(image string) *serviceGroup {
	for i := range w.services {
		if w.services[i].image == image {
			return &w.services[i]
		}
	}
	s := serviceGroup{image: image, ratio: noReading}
	for filling, share := range w.fill {
		s.pressure += w.pressure.assumedWeight(image, filling) * share
	}
	w.services = append(w.services, s)
	return &w.services[len(w.services)-1]
}

func (w *Worker) addFill(step *pb.Step, sign float64) {
	share := sign * w.cpuShare(step)
	if w.fill == nil {
		w.fill = CPUShares{}
	}
	w.fill[step.GetImage()] += share
	for i := range w.services {
		w.services[i].pressure += w.pressure.assumedWeight(w.services[i].image, step.GetImage()) * share
	}
}

// cpuShare is the share of the worker's CPU time that a task uses at full speed.
func (w *Worker) cpuShare(step *pb.Step) float64 {
	return float64(step.GetSize().GetMillicores()) / float64(max(1, w.Capacity.Cores))
}

// otherServiceImages returns the number of images of services on w other than image.
func (w *Worker) otherServiceImages(image string) int {
	n := 0
	for i := range w.services {
		if w.services[i].tasks > 0 && w.services[i].image != image {
			n++
		}
	}
	return n
}

// poolUsage returns the share of the CPU time of each pool that is in use, and the share that is reserved. As in use it counts, for each
// worker, the reserved cores or the expected use, whichever is more.
func poolUsage(workers []*Worker) (usage, reserved map[string]float64) {
	type sum struct{ taken, reserved, capacity float64 }
	pools := map[string]sum{}
	for _, w := range workers {
		if w.Usable {
			s := pools[w.Pool]
			s.taken += math.Max(float64(w.used.Cores), w.load)
			s.reserved += float64(w.used.Cores)
			s.capacity += float64(w.Capacity.Cores)
			pools[w.Pool] = s
		}
	}
	usage, reserved = map[string]float64{}, map[string]float64{}
	for pool, s := range pools {
		usage[pool], reserved[pool] = s.taken/math.Max(1, s.capacity), s.reserved/math.Max(1, s.capacity)
	}
	return usage, reserved
}
