package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/lentilyard/lentilyard/internal/pb"
)

func timeText(unixMs int64) string {
	if unixMs == 0 {
		return "-"
	}
	return time.UnixMilli(unixMs).UTC().Format(time.RFC3339)
}

func writtenText(contract *pb.Contract) string {
	limits := contract.GetLimits()
	return joinNonEmpty("cores", limits.GetCores(), "memory", limits.GetMemory(), "accelerators", limits.GetAccelerators(),
		"tasks", limits.GetTasks(), "requestRate", limits.GetRequestRate(), "deadline", contract.GetTerms().GetDeadline())
}

// joinNonEmpty formats pairs of name and value as "name=value, ...". It leaves out pairs with an empty value and returns "-"
// if there are no others.
func joinNonEmpty(pairs ...string) string {
	var parts []string
	for i := 0; i+1 < len(pairs); i += 2 {
		if pairs[i+1] != "" {
			parts = append(parts, pairs[i]+"="+pairs[i+1])
		}
	}
	if len(parts) == 0 {
		return "-"
	}
	return strings.Join(parts, ", ")
}

func limitsText(contract *pb.ResolvedContract) string {
	limits := contract.GetResolved()
	if limits == nil {
		return "-"
	}
	return fmt.Sprintf("%dm cores, %d B memory, %d accelerators, %d tasks, %d requests/1000 s, %d ms",
		limits.Millicores, limits.MemoryBytes, limits.Accelerators, limits.Tasks, limits.RequestRate, limits.DeadlineMs)
}

func resourcesText(r *pb.Resources) string {
	if r == nil {
		return "-"
	}
	return fmt.Sprintf("%dm cores, %d MiB, %d acc", r.Millicores, r.MemoryBytes>>20, r.Accelerators)
}

func stateText(state pb.TaskState) string {
	return strings.ToLower(strings.TrimPrefix(state.String(), "TASK_STATE_"))
}

func classText(class pb.TaskClass) string {
	return strings.ToLower(strings.TrimPrefix(class.String(), "TASK_CLASS_"))
}
