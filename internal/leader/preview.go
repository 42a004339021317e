package leader

import (
	"github.com/lentilyard/lentilyard/internal/domain"
	"github.com/lentilyard/lentilyard/internal/pb"
)

// TasksBeyond returns the ids of the tasks that would be evicted if the contract had these limits in this domain. If
// limits is nil, the contract counts as withdrawn, and the ids of all its tasks that have not ended are returned. It
// changes nothing.
func (l *Leader) TasksBeyond(contractName string, limits *pb.ResolvedLimits) []string {
	var ids []string
	var assigned []*pb.Task
	for _, t := range l.view().Tasks(domain.Filter{Contract: contractName}) {
		switch {
		case domain.Ended(t.GetState()):
		case limits == nil:
			ids = append(ids, t.GetId())
		case domain.Assigned(t.GetState()) && t.GetState() != pb.TaskState_TASK_STATE_EVICTING:
			assigned = append(assigned, t)
		}
	}
	if limits == nil {
		return ids
	}
	for _, eviction := range evictExcess(limits, assigned) {
		ids = append(ids, eviction.GetTask())
	}
	return ids
}
