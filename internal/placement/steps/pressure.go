package steps

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/lentilyard/lentilyard/internal/submission"
)

// Pressure is a model of how much filling tasks of one image slow down services of another image, learnt from readings of
// the tail latency. It is meant for a mix in which a few images slow down a few others strongly and most pairs do not
// matter. Which pairs do is known only from late and imprecise readings, and changes from day to day.
//
// The model of a service is a queue: at a utilization u its tail latency is idle / (1 - u), where idle is its tail latency
// without load. u is a base times 1 + the sum of weight * share over the filling images on the worker. The base is the
// utilization without filling tasks and swings with the load of the service; share is the share of the worker's CPU time
// that the tasks of an image use. A reading covers the recent past, so shares are averaged over the same time.
//
// The weights of each service image are estimated by recursive least squares: several filling images run at the same
// time, and the effect of one shows only after the effects of all others are taken into account.
type Pressure struct {
	tasks   map[submission.Ref]*serviceState
	weights map[string]*weightEstimates // by service image
}

// serviceState is what is known of one service task.
type serviceState struct {
	// base is the smoothed estimate of the utilization without filling tasks, lastBase that from the last reading alone.
	base, lastBase float64
	// utilization is the last reading.
	utilization float64
}

const (
	// idleTailRatio is the tail ratio of a service without load: limits are a few times the idle tail latency.
	idleTailRatio = 0.2
	// initialBase is the base of a service without readings.
	initialBase = 0.45
	// initialWeight and initialDeviation are the weight of an unknown pair of images and its standard deviation.
	initialWeight    = 0.6
	initialDeviation = 3.0
	// readingNoise is the standard deviation of a reading.
	readingNoise = 0.25
	// weightDrift is the standard deviation of the change of a weight between two readings.
	weightDrift = 0.025
	// baseRate is the share of the prediction error by which one reading corrects the base.
	baseRate = 0.15
	// minBase and maxBase bound the base: a service without filling tasks stays within its tail limit.
	minBase = 0.1
	maxBase = 0.75
	// minPlacementBase is the least base that placement assumes: the load of a service that is low now rises again while a
	// filling task runs.
	minPlacementBase = 0.5
	// saturated is the utilization above which a queue builds up. A reading above it does not show how large the overload
	// is, and stays high after the overload has ended, until the queue is drained.
	saturated = 0.9
	// minShare is the least CPU share of the filling tasks at which a reading corrects weights.
	minShare = 0.02
	// negligibleShare is the average CPU share below which an image without running tasks is dropped.
	negligibleShare = 0.001
	// averagingTime is the time constant of the average of CPU shares.
	averagingTime = 700 * time.Millisecond
	// maxImages bounds the filling images with a weight of their own for one service image; others have initialWeight.
	maxImages = 64
)

// weightEstimates holds the weights of filling images for one service image, with their covariance.
type weightEstimates struct {
	index      map[string]int
	mean       []float64
	covariance [][]float64
}

func newWeightEstimates() *weightEstimates { return &weightEstimates{index: map[string]int{}} }

// slot returns the index of a filling image and adds the image if necessary. It returns -1 if there are too many.
func (e *weightEstimates) slot(image string) int {
	if i, ok := e.index[image]; ok {
		return i
	}
	n := len(e.mean)
	if n == maxImages {
		return -1
	}
	e.index[image] = n
	e.mean = append(e.mean, initialWeight)
	for i := range e.covariance {
		e.covariance[i] = append(e.covariance[i], 0)
	}
	row := make([]float64, n+1)
	row[n] = initialDeviation * initialDeviation
	e.covariance = append(e.covariance, row)
	return n
}

// imageUse is the CPU time that the tasks of one filling image used during a reading.
type imageUse struct {
	slot int
	// scaledShare is the CPU share times the base of the service: the factor of the weight in the predicted utilization.
	scaledShare float64
}

// update corrects the weights by the prediction error of a reading.
func (e *weightEstimates) update(err float64, uses []imageUse) {
	gain := make([]float64, len(e.mean))
	for i := range gain {
		for _, u := range uses {
			gain[i] += e.covariance[i][u.slot] * u.scaledShare
		}
	}
	variance := readingNoise * readingNoise
	for _, u := range uses {
		variance += gain[u.slot] * u.scaledShare
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
	return &Pressure{tasks: map[submission.Ref]*serviceState{}, weights: map[string]*weightEstimates{}}
}

// Utilization converts the tail ratio of a service to its utilization.
func Utilization(ratio float64) float64 {
	if ratio <= idleTailRatio {
		return 0
	}
	return 1 - idleTailRatio/ratio
}

// CPUShares maps the images of filling tasks to the shares of a worker's CPU time that they use.
type CPUShares map[string]float64

// Update moves the averages in f towards the shares in use now. elapsed is the time since the last call.
func (f CPUShares) Update(now CPUShares, elapsed time.Duration) {
	step := 1 - math.Exp(-float64(elapsed)/float64(averagingTime))
	for image := range now {
		f[image] += 0 // adds a missing image, so that the loop below visits it
	}
	for image, share := range f {
		if f[image] = share + step*(now[image]-share); f[image] < negligibleShare && now[image] == 0 {
			delete(f, image)
		}
	}
}

// ServiceReading is a reading of the tail latency of a service.
type ServiceReading struct {
	Task  submission.Ref
	Image string
	// Ratio is its tail latency divided by its limit.
	Ratio float64
}

// Observe learns from a reading of a service. fill holds the CPU shares that filling tasks on its worker used during the
// reading.
func (p *Pressure) Observe(s ServiceReading, fill CPUShares) {
	e, t := p.estimatesFor(s.Image), p.stateOf(s.Task)
	before := t.utilization
	t.utilization = Utilization(s.Ratio)
	if before > saturated && t.utilization <= before {
		return // the rest of a queue is drained: the reading does not show the present load
	}
	predicted, squares := t.base, 0.0
	uses := make([]imageUse, 0, len(fill))
	for _, image := range slices.Sorted(maps.Keys(fill)) {
		share := fill[image]
		predicted += t.base * p.Weight(s.Image, image) * share
		squares += share * share
		if slot := e.slot(image); slot >= 0 {
			uses = append(uses, imageUse{slot, share * t.base})
		}
	}
	if t.utilization > saturated && predicted > t.utilization {
		return // readings saturate here, so a higher prediction is no error
	}
	t.lastBase = math.Min(maxBase, t.utilization*t.base/predicted)
	err := t.utilization - predicted
	t.base = math.Max(minBase, math.Min(maxBase, t.base+baseRate*err*t.base/math.Max(predicted, t.base)))
	if squares >= minShare*minShare {
		e.update(err, uses)
	}
}

func (p *Pressure) estimatesFor(image string) *weightEstimates {
	e := p.weights[image]
	if e == nil {
		e = newWeightEstimates()
		p.weights[image] = e
	}
	return e
}

func (p *Pressure) stateOf(ref submission.Ref) *serviceState {
	t := p.tasks[ref]
	if t == nil {
		t = &serviceState{base: initialBase}
		p.tasks[ref] = t
	}
	return t
}

// Keep drops the state of all service tasks for which f returns false. It keeps the weights.
func (p *Pressure) Keep(f func(submission.Ref) bool) {
	for ref := range p.tasks {
		if !f(ref) {
			delete(p.tasks, ref)
		}
	}
}

// Base returns the utilization of a service without filling tasks: the higher one of the smoothed estimate and that from
// the last reading.
func (p *Pressure) Base(task submission.Ref) float64 {
	if t := p.tasks[task]; t != nil {
		return math.Max(t.base, t.lastBase)
	}
	return initialBase
}

// Weight returns what filling tasks of an image would add to the utilization of a service if they used all CPU time of the
// worker, as a multiple of its base.
func (p *Pressure) Weight(serving, filling string) float64 {
	if e := p.weights[serving]; e != nil {
		if i, ok := e.index[filling]; ok {
			return math.Max(0, e.mean[i])
		}
	}
	return initialWeight
}

// effectiveWeight returns Weight, or 0 if the weight is negligible.
func (p *Pressure) effectiveWeight(serving, filling string) float64 {
	if w := p.Weight(serving, filling); w > negligibleWeight {
		return w
	}
	return 0
}
