package steps

import (
	"math"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/resources"
)

// servingLoad is the share of its declared processor time that an endless task is expected to use.
const servingLoad = 0.5

// service sums up the endless tasks of one image on a worker.
type service struct {
	image string
	tasks int
	// base is the highest busy share of its tasks by themselves, ratio the highest reading of a tail.
	base, ratio float64
	// pressure is what the filling tasks on the worker add to the busy share, as a multiple of base.
	pressure float64
}

// prepare sums up what is on the worker.
func (w *Worker) prepare(pressure *Pressure) {
	w.used, w.load, w.pressure, w.keptFor = resources.Vector{}, 0, pressure, ""
	w.services = w.services[:0]
	clear(w.fill)
	clear(w.perStep)
	for i := range w.Residents {
		w.add(&w.Residents[i])
	}
}

// counted is what a task takes of the capacity of a worker.
func counted(step *pb.Step) resources.Vector {
	size := resources.FromProto(step.GetSize())
	if step.GetFills() {
		size.Cores = 0
	}
	return size
}

// expectedLoad is the processor time that a task is expected to use, in millicores.
func expectedLoad(step *pb.Step) float64 {
	load := float64(step.GetSize().GetMillicores())
	if step.GetEndless() {
		return servingLoad * load
	}
	return load
}

// load is the processor time that a task is expected to use now, in millicores.
func (r *Resident) load() float64 { return expectedLoad(r.Step) * (1 - r.ThrottledBy) }

func (w *Worker) add(r *Resident) {
	w.used = w.used.Plus(counted(r.Step))
	w.load += r.load()
	w.count(r, 1)
	if r.Step.GetTailLimitMs() > 0 {
		w.addServing(r)
	}
	if r.Step.GetFills() {
		w.addFill(r.Step, 1)
	}
}

// remove takes back the last task that was added.
func (w *Worker) remove(r *Resident) {
	w.used = w.used.Minus(counted(r.Step))
	w.load -= r.load()
	w.count(r, -1)
	if r.Step.GetTailLimitMs() > 0 {
		w.serviceOf(r.Step.GetImage()).tasks--
	}
	if r.Step.GetFills() {
		w.addFill(r.Step, -1)
	}
}

// count follows the tasks of steps that limit them.
func (w *Worker) count(r *Resident, n int) {
	if r.Step.GetMaxPerWorker() == 0 {
		return
	}
	if w.perStep == nil {
		w.perStep = map[stepKey]int{}
	}
	w.perStep[keyOf(r.Task)] += n
}

func (w *Worker) addServing(r *Resident) {
	s := w.serviceOf(r.Step.GetImage())
	s.tasks++
	s.base = math.Max(s.base, math.Max(usualBase, w.pressure.Base(r.Task)))
	s.ratio = math.Max(s.ratio, r.TailRatio)
}

// serviceOf returns the entry of an image, which is made if there is none.
func (w *Worker) serviceOf(image string) *service {
	for i := range w.services {
		if w.services[i].image == image {
			return &w.services[i]
		}
	}
	s := service{image: image, ratio: noReading}
	for filling, share := range w.fill {
		s.pressure += w.pressure.pressing(image, filling) * share
	}
	w.services = append(w.services, s)
	return &w.services[len(w.services)-1]
}

func (w *Worker) addFill(step *pb.Step, sign float64) {
	share := sign * w.share(step)
	if w.fill == nil {
		w.fill = CPUShares{}
	}
	w.fill[step.GetImage()] += share
	for i := range w.services {
		w.services[i].pressure += w.pressure.pressing(w.services[i].image, step.GetImage()) * share
	}
}

// share is the part of the worker's processor time that a task uses at full speed.
func (w *Worker) share(step *pb.Step) float64 {
	return float64(step.GetSize().GetMillicores()) / float64(max(1, w.Capacity.Cores))
}

// mix returns the number of images of endless tasks on w other than image.
func (w *Worker) mix(image string) int {
	n := 0
	for i := range w.services {
		if w.services[i].tasks > 0 && w.services[i].image != image {
			n++
		}
	}
	return n
}

// poolUsage returns the share of the processor time of each pool that is taken by tasks or expected to be used, whichever is
// more.
func poolUsage(workers []*Worker) map[string]float64 {
	type sum struct{ taken, capacity float64 }
	pools := map[string]sum{}
	for _, w := range workers {
		if w.Usable {
			s := pools[w.Pool]
			s.taken += math.Max(float64(w.used.Cores), w.load)
			s.capacity += float64(w.Capacity.Cores)
			pools[w.Pool] = s
		}
	}
	usage := map[string]float64{}
	for pool, s := range pools {
		usage[pool] = s.taken / math.Max(1, s.capacity)
	}
	return usage
}
