// Package baseline provides the placement policies that the interference-aware policy is compared with. They share
// quotas, classes, gangs and evictions for urgent tasks with it and differ in the choice of workers.
package baseline

import "github.com/lentilyard/lentilyard/internal/placement"

// FirstFit returns a planner that takes the first worker with room, in order of registration.
func FirstFit(c placement.Config) *placement.Planner {
	c.Strategy = placement.StrategyFirstFit
	return placement.New(c)
}

// BestFit returns a planner that takes the worker with the least room left over. It scans all workers.
func BestFit(c placement.Config) *placement.Planner {
	c.Strategy = placement.StrategyBestFit
	return placement.New(c)
}

// InterferenceBlind returns a planner that samples and scores workers without a model of interference. It evicts the
// largest batch neighbour of a slow task.
func InterferenceBlind(c placement.Config) *placement.Planner {
	c.Strategy = placement.StrategyBlind
	return placement.New(c)
}
