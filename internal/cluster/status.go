package cluster

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/replica"
)

// statusTimeout bounds the wait for one entry VM in an overview.
const statusTimeout = 2 * time.Second

func nowUnixMs() int64 { return time.Now().UnixMilli() }

// Ready reports whether this entry VM should get traffic.
func (c *Cluster) Ready() bool { return c.ready() }

// Status returns the state of all entry VMs that answer.
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

func (c *Cluster) statusOfVMs(ctx context.Context) []gathered[*pb.VMStatus] {
	return gather(c.pool, c.vmIDs(), func(id string) (*pb.VMStatus, error) {
		bounded, cancel := context.WithTimeout(ctx, statusTimeout)
		defer cancel()
		answer := new(pb.VMStatus)
		return answer, c.transport.Call(bounded, id, methodStatus, &pb.Empty{}, answer)
	})
}

func (c *Cluster) onStatus(context.Context, *pb.Empty) (proto.Message, error) {
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
		status.Voters = append(status.Voters, memberText(voter))
	}
	for _, learner := range s.Learners {
		status.Learners = append(status.Learners, memberText(learner))
	}
	return status
}

// memberText shows the VM and the start of its incarnation, which tells two lives of a VM apart.
func memberText(member replica.Member) string {
	return fmt.Sprintf("%s@%04x", member.VM, member.Incarnation>>48)
}

// Targets lists the executors that announce to each entry VM and the workers of each domain.
func (c *Cluster) Targets(ctx context.Context) (*pb.TargetList, error) {
	list := new(pb.TargetList)
	listed := make(map[string]bool)
	answers := gather(c.pool, c.vmIDs(), func(id string) (*pb.TargetList, error) {
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

// onTargets lists the executors of this entry VM and the workers of the domains that it leads.
func (c *Cluster) onTargets(context.Context, *pb.Empty) (proto.Message, error) {
	list := &pb.TargetList{Targets: c.table.Targets()}
	for _, name := range c.domainNames() {
		hosted, err := c.leading(name)
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
		State: workerStateText(worker.State), Holder: holder, Capacity: worker.Capacity, Used: used}
}

func workerStateText(state pb.WorkerState) string {
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

// Drain starts or ends the drain of a target.
func (c *Cluster) Drain(ctx context.Context, request *pb.DrainRequest) error {
	if err := c.checkDomain(request.FailureDomain); err != nil {
		return err
	}
	return c.callLeader(ctx, DomainGroup(request.FailureDomain), methodDrain, request, new(pb.Empty), true)
}
