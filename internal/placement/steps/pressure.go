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
// utilization without filling tasks and swings with the load of the service, see loadTrend; share is the share of the
// worker's CPU time that the tasks of an image use. A reading covers the recent past, so shares are averaged over the same time.
//
// The weights of each service image are estimated by recursive least squares: several filling images run at the same
// time, and the effect of one shows only after the effects of all others are taken into account.
type Pressure struct {
	// utilizations holds the last reading of each service task.
	utilizations map[submission.Ref]float64
	trends       map[stepKey]*loadTrend
	weights      map[string]*weightEstimates // by service image
}

const (
	// idleTailRatio is the tail ratio of a service without load: limits are a few times the idle tail latency.
	idleTailRatio = 0.2
	// initialWeight and initialDeviation are the weight of an unknown pair of images and its standard deviation.
	initialWeight    = 0.6
	initialDeviation = 3.0
	// readingNoise is the standard deviation of a reading.
	readingNoise = 0.06
	// weightDrift is the standard deviation of the change of a weight between two readings.
	weightDrift = 0.025
	// minWeight is the least weight that decisions assume. Filling tasks of every image slow down a service a little, which
	// counts while its load is at its peak.
	minWeight = 0.1
	// saturated is the utilization above which a queue builds up. A reading above it does not show how large the overload
	// is, and stays high after the overload has ended, until the queue is drained.
	saturated = 0.9
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

// gains returns the covariance of each weight with the predicted utilization.
func (e *weightEstimates) gains(uses []imageUse) []float64 {
	gains := make([]float64, len(e.mean))
	for i := range gains {
		for _, u := range uses {
			gains[i] += e.covariance[i][u.slot] * u.scaledShare
		}
	}
	return gains
}

// variance returns the variance that the weights cause in the predicted utilization.
func (e *weightEstimates) variance(uses []imageUse) float64 {
	gains, variance := e.gains(uses), 0.0
	for _, u := range uses {
		variance += gains[u.slot] * u.scaledShare
	}
	return variance
}

// update corrects the weights by the prediction error of a reading. otherVariance is the variance of the error that is not
// caused by the weights.
func (e *weightEstimates) update(err float64, uses []imageUse, otherVariance float64) {
	gains, variance := e.gains(uses), otherVariance+e.variance(uses)
	for i := range gains {
		e.mean[i] += gains[i] / variance * err
		for j := range gains {
			e.covariance[i][j] -= gains[i] * gains[j] / variance
		}
	}
	for _, u := range uses {
		e.covariance[u.slot][u.slot] += weightDrift * weightDrift
	}
}

// NewPressure returns a model without readings.
func NewPressure() *Pressure {
	return &Pressure{utilizations: map[submission.Ref]float64{}, trends: map[stepKey]*loadTrend{}, weights: map[string]*weightEstimates{}}
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
	// At is when it was read, by a monotonic clock.
	At time.Duration
}

// Observe learns from a reading of a service. fill holds the CPU shares that filling tasks on its worker used during the
// reading.
func (p *Pressure) Observe(s ServiceReading, fill CPUShares) {
	e, trend := p.estimatesFor(s.Image), p.trendOf(s.Task)
	before, utilization := p.utilizations[s.Task], Utilization(s.Ratio)
	p.utilizations[s.Task] = utilization
	if before > saturated && utilization <= before {
		return // the rest of a queue is drained: the reading does not show the present load
	}
	base := trend.after(trend.gap(s.At))
	factor := 1.0
	uses := make([]imageUse, 0, len(fill))
	for _, image := range slices.Sorted(maps.Keys(fill)) {
		factor += p.Weight(s.Image, image) * fill[image]
		if slot := e.slot(image); slot >= 0 {
			uses = append(uses, imageUse{slot, fill[image] * base})
		}
	}
	predicted := base * factor
	if utilization > saturated && predicted > utilization {
		return // readings saturate here, so a higher prediction is no error
	}
	// The error is divided between the weights and the load by how uncertain each of them is.
	err, loadVariance := utilization-predicted, factor*factor*trend.variance(s.At)
	weightVariance := e.variance(uses)
	trend.correct(err/factor, loadVariance/(loadVariance+weightVariance+readingNoise*readingNoise), s.At)
	e.update(err, uses, loadVariance+readingNoise*readingNoise)
}

func (p *Pressure) estimatesFor(image string) *weightEstimates {
	e := p.weights[image]
	if e == nil {
		e = newWeightEstimates()
		p.weights[image] = e
	}
	return e
}

// trendOf returns the trend of the service that a task belongs to and adds it if necessary.
func (p *Pressure) trendOf(task submission.Ref) *loadTrend {
	t := p.trends[keyOf(task)]
	if t == nil {
		t = &loadTrend{}
		p.trends[keyOf(task)] = t
	}
	return t
}

// Keep drops the state of all service tasks for which f returns false. It keeps the weights.
func (p *Pressure) Keep(f func(submission.Ref) bool) {
	maps.DeleteFunc(p.utilizations, func(ref submission.Ref, _ float64) bool { return !f(ref) })
	maps.DeleteFunc(p.trends, func(key stepKey, _ *loadTrend) bool {
		return !f(submission.Ref{Submission: key.submission, Occurrence: key.occurrence, Step: key.step})
	})
}

// Base returns the utilization of a service without filling tasks that is expected some time after its last reading.
func (p *Pressure) Base(task submission.Ref, ahead time.Duration) float64 {
	if t := p.trends[keyOf(task)]; t != nil {
		return t.after(ahead)
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

// assumedWeight returns Weight, but at least minWeight.
func (p *Pressure) assumedWeight(serving, filling string) float64 {
	return math.Max(minWeight, p.Weight(serving, filling))
}
