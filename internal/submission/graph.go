package submission

import (
	"slices"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// maxPathMs bounds the length of a path, about 35 years, so that sums of estimates cannot overflow.
const maxPathMs = 1 << 40

// Graph is what follows from the prerequisites of the steps of a submission. It is computed once, since a submission may name
// every earlier step as a prerequisite of every step.
type Graph struct {
	// direct holds the prerequisites of each step that no other prerequisite of the step implies.
	direct [][]uint32
	// pathMs holds, for each step, the expected time from its start to the end of the longest chain of steps that begins with it.
	pathMs []int64
}

// stepSet is a set of step numbers.
type stepSet []uint64

func newStepSet(steps int) stepSet       { return make(stepSet, (steps+63)/64) }
func (s stepSet) has(number uint32) bool { return s[number/64]&(1<<(number%64)) != 0 }
func (s stepSet) add(number uint32)      { s[number/64] |= 1 << (number % 64) }
func (s stepSet) addAll(others stepSet) {
	for i, word := range others {
		s[i] |= word
	}
}

// newGraph returns the graph of the given steps. Prerequisites that are not earlier steps are ignored; Check refuses them.
func newGraph(list []*pb.Step) *Graph {
	g := &Graph{direct: make([][]uint32, len(list)), pathMs: make([]int64, len(list))}
	implied := make([]stepSet, len(list)) // the steps that must finish before each one
	for i, step := range list {
		implied[i] = newStepSet(len(list))
		after := slices.Sorted(slices.Values(step.GetAfter()))
		for _, prerequisite := range slices.Backward(after) { // later steps imply earlier ones
			if int(prerequisite) < i && !implied[i].has(prerequisite) {
				g.direct[i] = append(g.direct[i], prerequisite)
				implied[i].add(prerequisite)
				implied[i].addAll(implied[prerequisite])
			}
		}
	}
	for i, step := range slices.Backward(list) {
		g.pathMs[i] = min(maxPathMs, g.pathMs[i]+min(maxPathMs, step.GetEstimateMs()))
		for _, prerequisite := range g.direct[i] {
			g.pathMs[prerequisite] = max(g.pathMs[prerequisite], g.pathMs[i])
		}
	}
	return g
}

// CriticalPathMs returns the expected time from the start of a step to the end of the longest chain of steps that begins with it.
func (g *Graph) CriticalPathMs(step int) int64 { return g.pathMs[step] }

// LongestPathMs returns the expected time of the longest chain of steps.
func (g *Graph) LongestPathMs() int64 {
	longest := int64(0)
	for _, path := range g.pathMs {
		longest = max(longest, path)
	}
	return longest
}
