package steps

import (
	"math"
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
type Pressure struct {
	base    map[submission.Ref]float64
	weights map[pair]float64
}

// pair is the image of an endless task and that of a filling one.
type pair struct{ serving, filling string }

const (
	// idleTail is the tail of an endless task without load as a share of its limit: limits are some times the idle tail.
	idleTail = 0.2
	// baseBefore is the busy share of an endless task before there are readings.
	baseBefore = 0.5
	// weightBefore is the weight of a core of an unknown pair: a few tasks are admitted and watched.
	weightBefore = 0.02
	// learningRate is the share of an error that one reading corrects.
	learningRate = 0.03
	// baseRate is the share for the base, which swings with the load of the endless task itself.
	baseRate = 0.05
	// highestWeight bounds a weight: two cores that press a tail over its limit by themselves.
	highestWeight = 0.4
	// highestBase bounds the base of a task: what it does by itself stays within its limit.
	highestBase = 0.8
	// leastCores keeps a reading with next to no filling work from moving weights.
	leastCores = 1.0
)

// NewPressure returns a model without readings.
func NewPressure() *Pressure {
	return &Pressure{base: map[submission.Ref]float64{}, weights: map[pair]float64{}}
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
	base, squares := p.baseOf(s.Task), 0.0
	err := Busy(s.Ratio) - base
	for image, cores := range fill {
		err -= p.Weight(s.Image, image) * cores
		squares += cores * cores
	}
	p.base[s.Task] = math.Max(0, math.Min(highestBase, base+baseRate*err))
	if squares < leastCores*leastCores {
		return
	}
	for image, cores := range fill {
		w := p.Weight(s.Image, image) + learningRate*err*cores/squares
		p.weights[pair{s.Image, image}] = math.Max(0, math.Min(highestWeight, w))
	}
}

// Forget drops what is known of a task that has ended.
func (p *Pressure) Forget(task submission.Ref) { delete(p.base, task) }

// Predict returns the expected busy share of an endless task beside filling tasks.
func (p *Pressure) Predict(task submission.Ref, image string, fill FillCores) float64 {
	busy := p.baseOf(task)
	for filling, cores := range fill {
		if w := p.Weight(image, filling); w > harmlessWeight {
			busy += w * cores
		}
	}
	return busy
}

// Weight returns what one core of filling tasks of an image adds to the busy share of an endless task.
func (p *Pressure) Weight(serving, filling string) float64 {
	if w, ok := p.weights[pair{serving, filling}]; ok {
		return w
	}
	return weightBefore
}

func (p *Pressure) baseOf(task submission.Ref) float64 {
	if b, ok := p.base[task]; ok {
		return b
	}
	return baseBefore
}
