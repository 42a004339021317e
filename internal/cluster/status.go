package cluster

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/replica"
)

// statusTimeout bounds the call to one entry VM in Status, NoteStatus and Targets.
const statusTimeout = 2 * time.Second

func nowUnixMs() int64 { return time.Now().UnixMilli() }

// Ready reports whether this entry VM should receive traffic.
func (c *Cluster) Ready() bool { return c.ready() }

// Status returns the state of all entry VMs that answer, and the ids of the
// others.
func (c *Cluster) Status(ctx context.Context) (*pb.StatusList, error) {
	list := new(pb.StatusList)
	for _, result := range c.statusOfVMs(ctx) {
		if result.err != nil {
			list.Unreachable = append(list.Unreachable, result.name)
			continue
		}
		list.Vms = append(list.Vms, result.answer)
	}
	return list, nil
}

// statusOfVMs returns the status of all entry VMs in the order of the settings.
func (c *Cluster) statusOfVMs(ctx context.Context) []callResult[*pb.VMStatus] {
	return callAll(c.pool, c.vmIDs(), func(id string) (*pb.VMStatus, error) {
		bounded, cancel := context.WithTimeout(ctx, statusTimeout)
		defer cancel()
		answer := new(pb.VMStatus)
		return answer, c.transport.Call(bounded, id, methodStatus, &pb.Empty{}, answer)
	})
}

func (c *Cluster) handleStatus(context.Context, *pb.Empty) (proto.Message, error) {
	status := &pb.VMStatus{
		Id:            c.vm,
		FailureDomain: c.domain,
		Version:       c.version,
		Ready:         c.ready(),
		AppliedNote:   c.appliedNote(),
		Groups:        []*pb.GroupStatus{groupStatus(ConfigGroup, c.config.Status())},
	}
	for _, name := range c.domainNames() {
		if hosted, found := c.domains[name]; found {
			status.Groups = append(status.Groups, groupStatus(DomainGroup(name), hosted.Group.Status()))
		}
	}
	return status, nil
}

func groupStatus(name string, s replica.Status) *pb.GroupStatus {
	status := &pb.GroupStatus{Name: name, Role: string(s.Role), Leader: s.Leader, Term: s.Term,
		CommitIndex: s.Commit, AppliedIndex: s.Applied}
	for _, voter := range s.Voters {
		status.Voters = append(status.Voters, formatMember(voter))
	}
	for _, learner := range s.Learners {
		status.Learners = append(status.Learners, formatMember(learner))
	}
	return status
}

// formatMember returns the VM id and the first 16 bits of its incarnation, which
// distinguish two incarnations of a VM.
func formatMember(member replica.Member) string {
	return fmt.Sprintf("%s@%04x", member.VM, member.Incarnation>>48)
}

// Targets lists the executors that announce themselves to each entry VM and the
// workers of the failure domains that it leads. A domain counts as unreachable if
// none of its entry VMs answers.
func (c *Cluster) Targets(ctx context.Context) (*pb.TargetList, error) {
	list := new(pb.TargetList)
	listed := make(map[string]bool)
	answers := callAll(c.pool, c.vmIDs(), func(id string) (*pb.TargetList, error) {
		bounded, cancel := context.WithTimeout(ctx, statusTimeout)
		defer cancel()
		answer := new(pb.TargetList)
		return answer, c.transport.Call(bounded, id, methodTargets, &pb.Empty{}, answer)
	})
	for i, result := range answers {
		failureDomain := c.settings.EntryVms[i].FailureDomain
		if result.err != nil {
			continue
		}
		listed[failureDomain] = true
		list.Targets = append(list.Targets, result.answer.Targets...)
	}
	for _, name := range c.domainNames() {
		if !listed[name] {
			list.UnreachableDomains = append(list.UnreachableDomains, name)
		}
	}
	return list, nil
}

// handleTargets lists the executors that announce themselves to this entry VM and
// the workers of the failure domains that it leads.
func (c *Cluster) handleTargets(context.Context, *pb.Empty) (proto.Message, error) {
	list := &pb.TargetList{Targets: c.table.Targets()}
	for _, name := range c.domainNames() {
		hosted, err := c.ledDomain(name)
		if err != nil {
			continue
		}
		view := hosted.State.View()
		for _, worker := range view.Workers() {
			list.Targets = append(list.Targets, workerStatus(worker, view.Used(worker.Id), c.vm))
		}
	}
	return list, nil
}

func workerStatus(worker *pb.Worker, used *pb.Resources, holder string) *pb.TargetStatus {
	return &pb.TargetStatus{Id: worker.Id, Type: "worker", FailureDomain: worker.FailureDomain, Rack: worker.Rack,
		State: workerStateName(worker.State), Holder: holder, Capacity: worker.Capacity, Used: used}
}

func workerStateName(state pb.WorkerState) string {
	switch state {
	case pb.WorkerState_WORKER_STATE_READY:
		return "ready"
	case pb.WorkerState_WORKER_STATE_DRAINING:
		return "draining"
	case pb.WorkerState_WORKER_STATE_SET_ASIDE:
		return "quarantined"
	case pb.WorkerState_WORKER_STATE_LOST:
		return "lost"
	}
	return "unknown"
}

// Drain starts or ends the draining of a target.
func (c *Cluster) Drain(ctx context.Context, request *pb.DrainRequest) error {
	if err := c.checkDomain(request.FailureDomain); err != nil {
		return err
	}
	return c.callLeader(ctx, DomainGroup(request.FailureDomain), methodDrain, request, new(pb.Empty), callRepeatable)
}
