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
// is its tail without load. u is a base of the task, which swings with its own load, plus a weight for each core that
// filling tasks of an image use beside it. A reading covers the recent past, so cores are averaged over the same time.
//
// The weights of each service image are estimated by recursive least squares: filling images come mixed, and what one
// does shows only against all the others.
type Pressure struct {
	base    map[submission.Ref]float64
	weights map[string]*estimate
}

const (
	// idleTail is the tail of an endless task without load as a share of its limit: limits are some times the idle tail.
	idleTail = 0.2
	// baseBefore is the busy share of an endless task before there are readings.
	baseBefore = 0.5
	// weightBefore and deviationBefore are the weight of a core of an unknown pair and its uncertainty.
	weightBefore    = 0.01
	deviationBefore = 0.05
	// readingNoise is the deviation of a reading. Readings of one task follow each other closely and count for less.
	readingNoise = 0.4
	// weightDrift is the deviation by which a weight may change between two readings.
	weightDrift = 0.0004
	// baseRate is the share of an error that one reading corrects in the base, which swings with the load of the task.
	baseRate = 0.05
	// highestBase bounds the base of a task: what it does by itself stays within its limit.
	highestBase = 0.8
	// peakBase is the base that a task reaches at the height of its load, which comes within the run of a filling task.
	peakBase = 0.65
	// leastCores keeps a reading with next to no filling work from moving weights.
	leastCores = 1.0
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
	cores float64
}

// learn corrects the weights by the error of a reading.
func (e *estimate) learn(err float64, uses []used) {
	gain := make([]float64, len(e.mean))
	for i := range gain {
		for _, u := range uses {
			gain[i] += e.covariance[i][u.slot] * u.cores
		}
	}
	variance := readingNoise * readingNoise
	for _, u := range uses {
		variance += gain[u.slot] * u.cores
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
	return &Pressure{base: map[submission.Ref]float64{}, weights: map[string]*estimate{}}
}

// Busy converts a tail, as a share of its limit, to the busy share of the task.
func Busy(ratio float64) float64 {
	if ratio <= idleTail {
		return 0
	}
	return 1 - idleTail/ratio
}

// FillCores maps the image of filling tasks to the cores that they use on a worker.
type FillCores map[string]float64

// readingTime is the time constant over which the use of cores is averaged: a queue that has built up outlasts its cause.
const readingTime = time.Second

// Follow moves the averages towards the cores in use now, after the given time.
func (f FillCores) Follow(now FillCores, elapsed time.Duration) {
	share := 1 - math.Exp(-float64(elapsed)/float64(readingTime))
	for image := range now {
		f[image] += 0 // so that the loop below sees it
	}
	for image, cores := range f {
		if f[image] = cores + share*(now[image]-cores); f[image] < negligibleCores && now[image] == 0 {
			delete(f, image)
		}
	}
}

// negligibleCores is the average below which an image is forgotten.
const negligibleCores = 0.05

// Serving is a reading of an endless task with a tail limit.
type Serving struct {
	Task  submission.Ref
	Image string
	// Ratio is its tail as a share of its limit.
	Ratio float64
}

// Observe records a reading beside filling tasks that used the given cores.
func (p *Pressure) Observe(s Serving, fill FillCores) {
	e := p.weights[s.Image]
	if e == nil {
		e = newEstimate()
		p.weights[s.Image] = e
	}
	base, squares := p.baseOf(s.Task), 0.0
	err := Busy(s.Ratio) - base
	uses := make([]used, 0, len(fill))
	for _, image := range slices.Sorted(maps.Keys(fill)) {
		cores := fill[image]
		err -= p.Weight(s.Image, image) * cores
		squares += cores * cores
		if slot := e.slot(image); slot >= 0 {
			uses = append(uses, used{slot, cores})
		}
	}
	p.base[s.Task] = math.Max(0, math.Min(highestBase, base+baseRate*err))
	if squares >= leastCores*leastCores {
		e.learn(err, uses)
	}
}

// Forget drops what is known of a task that has ended.
func (p *Pressure) Forget(task submission.Ref) { delete(p.base, task) }

// Predict returns the busy share that an endless task may reach beside filling tasks before these have ended.
func (p *Pressure) Predict(task submission.Ref, image string, fill FillCores) float64 {
	busy := math.Max(peakBase, p.baseOf(task))
	for filling, cores := range fill {
		if w := p.Weight(image, filling); w > harmlessWeight {
			busy += w * cores
		}
	}
	return busy
}

// Weight returns what one core of filling tasks of an image adds to the busy share of an endless task.
func (p *Pressure) Weight(serving, filling string) float64 {
	if e := p.weights[serving]; e != nil {
		if i, ok := e.index[filling]; ok {
			return math.Max(0, e.mean[i])
		}
	}
	return weightBefore
}

func (p *Pressure) baseOf(task submission.Ref) float64 {
	if b, ok := p.base[task]; ok {
		return b
	}
	return baseBefore
}
