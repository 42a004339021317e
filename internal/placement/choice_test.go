package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/lentilyard/lentilyard/internal/pb"
)

const (
	urgentClass  = pb.TaskClass_TASK_CLASS_URGENT
	serviceClass = pb.TaskClass_TASK_CLASS_SERVICE
	batchClass   = pb.TaskClass_TASK_CLASS_BATCH
)

// TestFilter checks each condition under which a task must not start on a worker.
func TestFilter(t *testing.T) {
	own, other := &bucket{}, &bucket{}
	ready := worker{id: "w1", known: true, state: pb.WorkerState_WORKER_STATE_READY, capacity: vector{Cores: 4000, Memory: 4000, Accelerators: 1}}
	with := func(change func(*worker)) worker {
		w := ready
		change(&w)
		return w
	}
	probing := with(func(w *worker) { w.health.probing = true })
	busyProbe := with(func(w *worker) { w.health.probing, w.starting = true, 1 })
	batch := task{class: batchClass, size: vector{Cores: 1000, Memory: 1000, Accelerators: 0}, bucket: own}
	sized := func(v vector) task { return task{class: batchClass, size: v, bucket: own} }
	cases := []struct {
		name   string
		worker worker
		task   task
		want   bool
	}{
		{"room", ready, batch, true},
		{"exact", ready, sized(vector{Cores: 4000, Memory: 4000, Accelerators: 1}), true},
		{"cores", ready, sized(vector{Cores: 4001, Memory: 0, Accelerators: 0}), false},
		{"memory", ready, sized(vector{Cores: 0, Memory: 4001, Accelerators: 0}), false},
		{"accelerators", ready, sized(vector{Cores: 0, Memory: 0, Accelerators: 2}), false},
		{"in use", with(func(w *worker) { w.used = vector{Cores: 3001, Memory: 0, Accelerators: 0} }), batch, false},
		{"only the used resource counts", with(func(w *worker) { w.used = vector{Cores: 4000, Memory: 0, Accelerators: 0} }), sized(vector{Cores: 0, Memory: 10, Accelerators: 0}), true},
		{"unknown", with(func(w *worker) { w.known = false }), batch, false},
		{"draining", with(func(w *worker) { w.state = pb.WorkerState_WORKER_STATE_DRAINING }), batch, false},
		{"set aside", with(func(w *worker) { w.state = pb.WorkerState_WORKER_STATE_SET_ASIDE }), batch, false},
		{"reserved for it", with(func(w *worker) { w.reservedFor = own }), batch, true},
		{"reserved for others", with(func(w *worker) { w.reservedFor = other }), batch, false},
		{"probe", probing, batch, true},
		{"second probe", busyProbe, batch, false},
		{"service as probe", probing, task{class: serviceClass, bucket: own}, false},
		{"gang as probe", probing, task{class: batchClass, gang: "g", bucket: own}, false},
		{"failed here", ready, task{class: batchClass, bucket: own, failedOn: []string{"w0", "w1"}}, false},
		{"failed elsewhere", ready, task{class: batchClass, bucket: own, failedOn: []string{"w0"}}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(filter(&c.task, &c.worker, c.task.size), c.want)
		})
	}
}

// TestScore checks that each term of the score prefers the better of two workers.
func TestScore(t *testing.T) {
	p := New(Config{})
	c := p.cache
	quiet, noisy, web := c.kindOf("m", "quiet"), c.kindOf("m", "noisy"), c.kindOf("m", "web")
	c.kindOf("m", "lone")
	for k, batch := range map[kindID]bool{quiet: true, noisy: true, web: false, 3: false} {
		c.model.ensurePrior(k, batch)
	}
	for range 50 {
		c.model.learn(web, []neighbour{{noisy, 1}}, 0.7, 1000)
		c.model.learn(web, []neighbour{{quiet, 1}}, 0.999, 1000)
	}
	c.servicesByRack[rackKey{web, 1}] = 2
	c.kindInfo[web].services = 3
	holding := func(kind kindID, class pb.TaskClass) *worker {
		return &worker{capacity: vector{Cores: 8000, Memory: 8000, Accelerators: 0}, used: vector{Cores: 1000, Memory: 0, Accelerators: 0}, rack: 0,
			groups: []taskGroup{{kind: kind, class: int8(class), count: 1, slowdownWeight: 1}}}
	}
	plain := func(change func(*worker)) *worker {
		w := &worker{capacity: vector{Cores: 8000, Memory: 8000, Accelerators: 0}, rack: 0}
		change(w)
		return w
	}
	slow := holding(web, serviceClass)
	slow.groups[0].slowdownWeight = float32(slowdownWeight(1))
	cases := []struct {
		name          string
		task          task
		better, worse *worker
	}{
		{"service avoids what harms it", task{kind: web, class: serviceClass}, holding(quiet, batchClass), holding(noisy, batchClass)},
		{"batch avoids whom it harms", task{kind: noisy, class: batchClass}, holding(quiet, batchClass), holding(web, serviceClass)},
		{"slow neighbours are spared", task{kind: noisy, class: batchClass}, holding(web, serviceClass), slow},
		{"packs", task{kind: quiet, class: batchClass}, plain(func(w *worker) { w.used.Cores = 6000 }), plain(func(*worker) {})},
		{"spreads over racks", task{kind: web, class: serviceClass}, plain(func(*worker) {}), plain(func(w *worker) { w.rack = 1 })},
		{"spares accelerators", task{kind: quiet, class: batchClass}, plain(func(*worker) {}), plain(func(w *worker) { w.capacity.Accelerators = 1 })},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).True(p.score(&c.task, c.better, 1000) < p.score(&c.task, c.worse, 1000))
		})
	}
}

// TestWeights checks that the weights take effect: with inverse ratios of them, the opposite worker is preferred.
func TestWeights(t *testing.T) {
	is := is.New(t)
	prefersSlowingBatch := func(tail, throughput float64) bool {
		p := New(Config{TailLatencyWeight: tail, ThroughputWeight: throughput})
		c := p.cache
		web, sheet, noisy := c.kindOf("m", "web"), c.kindOf("m", "sheet"), c.kindOf("m", "noisy")
		c.model.ensurePrior(web, false)
		c.model.ensurePrior(sheet, true)
		c.model.ensurePrior(noisy, true)
		for range 50 {
			c.model.learn(web, []neighbour{{noisy, 1}}, 0.9, 1000)
			c.model.learn(sheet, []neighbour{{noisy, 1}}, 0.8, 1000)
			c.model.learn(noisy, []neighbour{{web, 1}, {sheet, 1}}, 1, 1000)
		}
		beside := func(kind kindID, class pb.TaskClass) float64 {
			return p.interferenceCost(&task{kind: noisy, class: batchClass}, &worker{groups: []taskGroup{{kind: kind, class: int8(class), count: 1, slowdownWeight: 1}}}, 1000)
		}
		return beside(sheet, batchClass) < beside(web, serviceClass)
	}
	is.True(prefersSlowingBatch(10, 1))
	is.True(!prefersSlowingBatch(1, 10))
}

// TestIndexFindsRoom checks find against a linear search: it must return the first slot with room.
func TestIndexFindsRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := newIndex()
		var free []vector
		draw := func(name string) vector {
			return vector{Cores: rapid.Int64Range(0, 5).Draw(t, name), Memory: rapid.Int64Range(0, 5).Draw(t, name), Accelerators: rapid.Int64Range(0, 2).Draw(t, name)}
		}
		for range rapid.IntRange(1, 60).Draw(t, "slots") {
			slot := x.add()
			free = append(free, draw("free"))
			x.set(slot, free[slot])
		}
		size, from := draw("size"), rapid.IntRange(0, len(free)-1).Draw(t, "from")
		want := -1
		for i := range free {
			if slot := (from + i) % len(free); size.Fits(free[slot]) {
				want = slot
				break
			}
		}
		if got := x.find(size, from); got != want {
			t.Fatalf("find(%v, %d) = %d, want %d", size, from, got, want)
		}
	})
}

// TestFewestVictims checks that no more victims, and no costlier ones, are chosen than needed.
func TestFewestVictims(t *testing.T) {
	costs := map[string]float64{"a": 1, "b": 5, "c": 2, "d": 9, "e": 1}
	cores := map[string]int64{"a": 1000, "b": 2000, "c": 2000, "d": 4000, "e": 1000}
	cases := []struct {
		missing int64
		want    string
	}{
		{0, "[]"}, {1000, "[a]"}, {1500, "[c]"}, {2500, "[d]"}, {4500, "[a d]"}, {6500, "[a c d]"}, {10000, "[a b c d e]"}, {11000, "none"},
	}
	for _, c := range cases {
		t.Run(fmt.Sprint(c.missing), func(t *testing.T) {
			var candidates []*task
			for _, id := range []string{"a", "b", "c", "d", "e"} {
				candidates = append(candidates, &task{id: id, allocation: &allocation{occupied: vector{Cores: cores[id]}}})
			}
			chosen := fewestVictims(candidates, vector{Cores: c.missing}, func(t *task) float64 { return costs[t.id] })
			is.New(t).Equal(idsOf(chosen), c.want)
		})
	}
}

// idsOf formats the ids of tasks a to e in list, in alphabetical order, or "none" for a nil list.
func idsOf(list []*task) string {
	if list == nil {
		return "none"
	}
	ids := []string{}
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		for _, t := range list {
			if t.id == id {
				ids = append(ids, id)
			}
		}
	}
	return fmt.Sprint(ids)
}

// TestLateSampleAttribution checks that a late sample is attributed to the tasks that ran when it was taken, not to
// those that run when it arrives.
func TestLateSampleAttribution(t *testing.T) {
	is := is.New(t)
	now := testStart
	p := New(Config{Now: func() time.Time { return now }})
	p.UpsertWorker(testWorker(0, amounts(8000, 8000, 0)))
	p.SetContract(testContract("c1", "", 1<<40, 1<<40, 0))
	put := func(i int, kind string, state pb.TaskState) {
		m := testTask(i, batchClass, amounts(1000, 1000, 0))
		m.Spec.Kind, m.State, m.Worker, m.Attempt, m.StartedUnixMs = kind, state, "w00000", 1, now.UnixMilli()
		p.UpsertTask(m)
	}
	put(1, "web", pb.TaskState_TASK_STATE_RUNNING)
	put(2, "noisy", pb.TaskState_TASK_STATE_RUNNING)
	now = now.Add(10 * time.Second)
	taken := now.UnixMilli()
	now = now.Add(time.Second)
	put(2, "noisy", pb.TaskState_TASK_STATE_FINISHED)
	put(3, "quiet", pb.TaskState_TASK_STATE_RUNNING)
	now = now.Add(5 * time.Second)
	web, noisy, quiet := p.cache.kindOf("hanbit", "web"), p.cache.kindOf("hanbit", "noisy"), p.cache.kindOf("hanbit", "quiet")
	p.Observe("w00000", &pb.UsageSample{Task: "t000001", Attempt: 1, TakenUnixMs: taken, Speed: 0.5})
	is.True(p.cache.model.lookup(web, noisy).mean > 0.3)
	is.Equal(p.cache.model.lookup(web, quiet), nil)
	// A sample from a time for which the history is incomplete is ignored.
	p.cache.workers["w00000"].past.completeSince = taken + 1
	before := *p.cache.model.lookup(web, noisy)
	p.Observe("w00000", &pb.UsageSample{Task: "t000001", Attempt: 1, TakenUnixMs: taken, Speed: 0.9})
	is.Equal(*p.cache.model.lookup(web, noisy), before)
}

// TestInterferenceDecays checks that an estimate follows a shift of load, and that without samples its mean and its
// certainty decay.
func TestInterferenceDecays(t *testing.T) {
	is := is.New(t)
	m := newInterference(60_000)
	m.ensurePrior(0, false)
	m.ensurePrior(1, true)
	for i := range int64(200) {
		m.learn(0, []neighbour{{1, 2}}, 0.6, 1000*i)
	}
	e := m.estimate(0, 1, 200_000)
	is.True(e.mean > 0.24 && e.mean < 0.27) // -ln(0.6) / 2 = 0.255
	is.True(e.deviation < 0.03)
	late := m.estimate(0, 1, 200_000+10*60_000)
	is.True(late.mean < 0.04 && late.deviation > 0.09)
	for i := range int64(30) {
		m.learn(0, []neighbour{{1, 2}}, 1, 200_000+1000*i)
	}
	is.True(m.estimate(0, 1, 231_000).mean < 0.05)
}
