// Package baseline provides placement policies to compare the interference-aware policy of package placement with. They
// handle quotas, classes, gangs and evictions for urgent tasks in the same way and differ in the choice of workers.
package baseline

import "github.com/lentilyard/lentilyard/internal/placement"

// FirstFit returns a planner that chooses the first worker with room, in order of registration.
func FirstFit(c placement.Config) *placement.Planner {
	c.Strategy = placement.StrategyFirstFit
	return placement.New(c)
}

// BestFit returns a planner that scans all workers and chooses the one that has the least room left afterwards.
func BestFit(c placement.Config) *placement.Planner {
	c.Strategy = placement.StrategyBestFit
	return placement.New(c)
}

// InterferenceBlind returns a planner that samples and scores workers without a model of interference. To help a slow task,
// it evicts the largest batch task on the same worker.
func InterferenceBlind(c placement.Config) *placement.Planner {
	c.Strategy = placement.StrategyBlind
	return placement.New(c)
}
