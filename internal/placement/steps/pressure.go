package steps

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/lentilyard/lentilyard/internal/submission"
)

// Pressure learns from readings how much filling tasks of one image slow the answers of endless tasks of another. It
// answers a mix in which a few images press hard on a few others and most pairs do not matter: which ones is known only
// from late and rough readings, and changes from day to day.
//
// The model is a queue: an endless task that is busy for a share u of the time has a tail of idle / (1 - u), where idle
// is its tail without load. u is a base of the task, which swings with its own load, times one plus a weight for each
// filling image times the share of the worker's processor time that its tasks use. A reading covers the recent past, so
// shares are averaged over the same time.
//
// The weights of each service image are estimated by recursive least squares: filling images come mixed, and what one
// does shows only against all the others.
type Pressure struct {
	tasks   map[submission.Ref]*servingTask
	weights map[string]*estimate
}

// servingTask is what is known of one endless task.
type servingTask struct {
	// base follows the readings slowly, alone is what the last reading says.
	base, alone float64
	// busy is the last reading.
	busy float64
}

const (
	// idleTail is the tail of an endless task without load as a share of its limit: limits are some times the idle tail.
	idleTail = 0.2
	// baseBefore is the busy share of an endless task before there are readings.
	baseBefore = 0.45
	// weightBefore and deviationBefore are the weight of an unknown pair and its uncertainty.
	weightBefore    = 0.6
	deviationBefore = 3.0
	// readingNoise is the deviation of a reading.
	readingNoise = 0.25
	// weightDrift is the deviation by which a weight may change between two readings.
	weightDrift = 0.025
	// baseRate is the share of an error that one reading corrects in the base, which swings with the load of the task.
	baseRate = 0.15
	// lowestBase and highestBase bound the base of a task: what it does by itself stays within its limit.
	lowestBase  = 0.1
	highestBase = 0.75
	// usualBase is the least base that placement reckons with: the load of the task rises again within the run of a
	// filling task.
	usualBase = 0.5
	// saturated is the reading above which a queue builds up: the cause may be larger, and the queue outlasts it.
	saturated = 0.9
	// leastShare keeps a reading with next to no filling work from moving weights.
	leastShare = 0.02
	// negligibleShare is the average below which an image is forgotten.
	negligibleShare = 0.001
	// readingTime is the time constant over which the use of processor time is averaged.
	readingTime = 700 * time.Millisecond
	// maxImages bounds the filling images that are told apart for one service image; further ones keep the first weight.
	maxImages = 64
)

// estimate holds the weights of filling images for one service image and their covariance.
type estimate struct {
	index      map[string]int
	mean       []float64
	covariance [][]float64
}

func newEstimate() *estimate { return &estimate{index: map[string]int{}} }

// slot returns the index of a filling image, or -1 if there are too many.
func (e *estimate) slot(image string) int {
	if i, ok := e.index[image]; ok {
		return i
	}
	n := len(e.mean)
	if n == maxImages {
		return -1
	}
	e.index[image] = n
	e.mean = append(e.mean, weightBefore)
	for i := range e.covariance {
		e.covariance[i] = append(e.covariance[i], 0)
	}
	row := make([]float64, n+1)
	row[n] = deviationBefore * deviationBefore
	e.covariance = append(e.covariance, row)
	return n
}

// used is one filling image in a reading.
type used struct {
	slot  int
	share float64
}

// learn corrects the weights by the error of a reading.
func (e *estimate) learn(err float64, uses []used) {
	gain := make([]float64, len(e.mean))
	for i := range gain {
		for _, u := range uses {
			gain[i] += e.covariance[i][u.slot] * u.share
		}
	}
	variance := readingNoise * readingNoise
	for _, u := range uses {
		variance += gain[u.slot] * u.share
	}
	for i := range gain {
		e.mean[i] += gain[i] / variance * err
		for j := range gain {
			e.covariance[i][j] -= gain[i] * gain[j] / variance
		}
		e.covariance[i][i] += weightDrift * weightDrift
	}
}

// NewPressure returns a model without readings.
func NewPressure() *Pressure {
	return &Pressure{tasks: map[submission.Ref]*servingTask{}, weights: map[string]*estimate{}}
}

// Busy converts a tail, as a share of its limit, to the busy share of the task.
func Busy(ratio float64) float64 {
	if ratio <= idleTail {
		return 0
	}
	return 1 - idleTail/ratio
}

// CPUShares maps the image of filling tasks to the share of a worker's processor time that they use.
type CPUShares map[string]float64

// Update moves the averages towards the shares in use now, after the given time.
func (f CPUShares) Update(now CPUShares, elapsed time.Duration) {
	step := 1 - math.Exp(-float64(elapsed)/float64(readingTime))
	for image := range now {
		f[image] += 0 // so that the loop below sees it
	}
	for image, share := range f {
		if f[image] = share + step*(now[image]-share); f[image] < negligibleShare && now[image] == 0 {
			delete(f, image)
		}
	}
}

// ServiceReading is a reading of an endless task with a tail limit.
type ServiceReading struct {
	Task  submission.Ref
	Image string
	// Ratio is its tail as a share of its limit.
	Ratio float64
}

// Observe records a reading beside filling tasks that used the given shares.
func (p *Pressure) Observe(s ServiceReading, fill CPUShares) {
	e, t := p.estimate(s.Image), p.task(s.Task)
	before := t.busy
	t.busy = Busy(s.Ratio)
	if before > saturated && t.busy <= before {
		return // what is left of a queue says nothing of what presses now
	}
	predicted, squares := t.base, 0.0
	uses := make([]used, 0, len(fill))
	for _, image := range slices.Sorted(maps.Keys(fill)) {
		share := fill[image]
		predicted += t.base * p.Weight(s.Image, image) * share
		squares += share * share
		if slot := e.slot(image); slot >= 0 {
			uses = append(uses, used{slot, share * t.base})
		}
	}
	if t.busy > saturated && predicted > t.busy {
		return // readings end here, the cause does not
	}
	t.alone = math.Min(highestBase, t.busy*t.base/predicted)
	err := t.busy - predicted
	t.base = math.Max(lowestBase, math.Min(highestBase, t.base+baseRate*err*t.base/math.Max(predicted, t.base)))
	if squares >= leastShare*leastShare {
		e.learn(err, uses)
	}
}

func (p *Pressure) estimate(image string) *estimate {
	e := p.weights[image]
	if e == nil {
		e = newEstimate()
		p.weights[image] = e
	}
	return e
}

func (p *Pressure) task(ref submission.Ref) *servingTask {
	t := p.tasks[ref]
	if t == nil {
		t = &servingTask{base: baseBefore}
		p.tasks[ref] = t
	}
	return t
}

// Keep forgets all tasks but those for which f returns true.
func (p *Pressure) Keep(f func(submission.Ref) bool) {
	for ref := range p.tasks {
		if !f(ref) {
			delete(p.tasks, ref)
		}
	}
}

// Base returns the busy share of an endless task without what fills beside it.
func (p *Pressure) Base(task submission.Ref) float64 {
	if t := p.tasks[task]; t != nil {
		return math.Max(t.base, t.alone)
	}
	return baseBefore
}

// Weight returns what filling tasks of an image on all of a worker's processor time add to the busy share of an endless
// task, as a multiple of what it is without them.
func (p *Pressure) Weight(serving, filling string) float64 {
	if e := p.weights[serving]; e != nil {
		if i, ok := e.index[filling]; ok {
			return math.Max(0, e.mean[i])
		}
	}
	return weightBefore
}

// pressing returns Weight, or 0 if the pair does not matter.
func (p *Pressure) pressing(serving, filling string) float64 {
	if w := p.Weight(serving, filling); w > harmlessWeight {
		return w
	}
	return 0
}
