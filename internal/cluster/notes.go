package cluster

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lentilyard/lentilyard/internal/contract"
	"github.com/lentilyard/lentilyard/internal/errs"
	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/units"
)

// maxNotesListed bounds the notes that one call of Notes returns.
const maxNotesListed = 1000

// CheckNote returns the effects that a note would have on contracts and running
// tasks, without applying it.
func (c *Cluster) CheckNote(ctx context.Context, note *pb.ReleaseNote) (*pb.NoteCheck, error) {
	check := new(pb.NoteCheck)
	if err := c.callLeader(ctx, ConfigGroup, methodCheckNote, note, check, callReadOnly); err != nil {
		return nil, err
	}
	if err := c.addEvictedTasks(ctx, check); err != nil {
		return nil, err
	}
	return check, nil
}

// addEvictedTasks adds to the check the tasks that the note would evict in each
// failure domain. It fails if a domain cannot be reached, since the list would be
// incomplete.
func (c *Cluster) addEvictedTasks(ctx context.Context, check *pb.NoteCheck) error {
	answers := callAll(c.pool, c.domainNames(), func(name string) (*pb.NotePreviewAnswer, error) {
		answer := new(pb.NotePreviewAnswer)
		request := &pb.NotePreview{FailureDomain: name, Effects: check.Effects}
		return answer, c.callLeader(ctx, DomainGroup(name), methodPreview, request, answer, callReadOnly)
	})
	for _, result := range answers {
		if result.err != nil {
			return errs.ErrNoQuorum.With("failure domain %s cannot say which tasks the note would end: %w", result.name, result.err)
		}
		for i, tasks := range result.answer.Effects {
			check.Effects[i].TasksEvicted = append(check.Effects[i].TasksEvicted, tasks.Ids...)
		}
	}
	return nil
}

func (c *Cluster) handlePreview(_ context.Context, req *pb.NotePreview) (proto.Message, error) {
	hosted, err := c.ledDomain(req.FailureDomain)
	if err != nil {
		return nil, err
	}
	answer := new(pb.NotePreviewAnswer)
	for _, effect := range req.Effects {
		ids := &pb.TaskIDs{}
		switch {
		case effect.Before == nil:
		case effect.After == nil:
			ids.Ids = hosted.Leader.TasksBeyond(effect.Contract, nil)
		default:
			limits := contract.DomainLimits(effect.After, req.FailureDomain, c.domainNames())
			ids.Ids = hosted.Leader.TasksBeyond(effect.Contract, limits)
		}
		answer.Effects = append(answer.Effects, ids)
	}
	return answer, nil
}

func (c *Cluster) handleCheckNote(ctx context.Context, note *pb.ReleaseNote) (proto.Message, error) {
	table, err := c.prepareNote(ctx, note)
	if err != nil {
		return nil, err
	}
	check, _, err := contract.Check(c.contracts.View(), note, table)
	return nilOnError(check, err)
}

// prepareNote confirms that this entry VM leads the config group and has applied all committed notes, checks the
// failure domains of the note and returns the unit table.
func (c *Cluster) prepareNote(ctx context.Context, note *pb.ReleaseNote) (*units.Table, error) {
	if status := c.config.Status(); status.Leader != c.vm {
		return nil, errNotLeader.With("%s", status.Leader)
	}
	if err := c.config.ReadBarrier(ctx); err != nil {
		return nil, err
	}
	if err := contract.CheckDomains(note, c.domainNames()); err != nil {
		return nil, err
	}
	return units.New(c.settings.Units)
}

// ApplyNote applies a note entirely or not at all.
func (c *Cluster) ApplyNote(ctx context.Context, note *pb.ReleaseNote) (*pb.AcceptedNote, error) {
	accepted := new(pb.AcceptedNote)
	// Repeatable: a note that is sent again gets the answer to its first submission.
	return accepted, c.callLeader(ctx, ConfigGroup, methodApplyNote, note, accepted, callRepeatable)
}

func (c *Cluster) handleApplyNote(ctx context.Context, note *pb.ReleaseNote) (proto.Message, error) {
	table, err := c.prepareNote(ctx, note)
	if err != nil {
		return nil, err
	}
	view := c.contracts.View()
	if first, err := contract.Accepted(view, note); first != nil || err != nil {
		return nilOnError(first, err)
	}
	command, err := contract.NewCommand(view, note, table, c.vm, time.Now())
	if err != nil {
		return nil, err
	}
	entry, err := proto.Marshal(command)
	if err != nil {
		return nil, errs.ErrInternal.With("encode note: %w", err)
	}
	applied, err := c.config.Propose(ctx, entry)
	if err != nil {
		return nil, err
	}
	switch result := applied.(type) {
	case *pb.AcceptedNote:
		c.log.Info().Str("event", "note-accepted").Uint64("note", note.Number).Str("author", note.Author).Send()
		return result, nil
	case *errs.Error:
		return nil, result
	default:
		return nil, errs.ErrInternal.With("the config group returned %T for a note", applied)
	}
}

// NoteStatus returns on which entry VMs a note is in force. It returns
// errs.ErrNotFound if the note is neither accepted nor in force on any of them.
func (c *Cluster) NoteStatus(ctx context.Context, number uint64) (*pb.NoteStatus, error) {
	status := &pb.NoteStatus{Accepted: c.contracts.View().Note(number)}
	for i, result := range c.statusOfVMs(ctx) {
		vm := &pb.NoteVM{Id: result.name, FailureDomain: c.settings.EntryVms[i].FailureDomain}
		if result.err == nil {
			vm.Reachable = true
			vm.AppliedNote = result.answer.AppliedNote
			vm.InForce = vm.AppliedNote >= number
		}
		status.Vms = append(status.Vms, vm)
	}
	if status.Accepted == nil && !inForceAnywhere(status) {
		return nil, errs.ErrNotFound.With("note %d is not accepted", number)
	}
	return status, nil
}

func inForceAnywhere(status *pb.NoteStatus) bool {
	for _, vm := range status.Vms {
		if vm.InForce {
			return true
		}
	}
	return false
}

// Notes lists the latest accepted notes that this entry VM has applied.
func (c *Cluster) Notes() *pb.NoteList {
	return &pb.NoteList{Notes: c.contracts.View().Notes(maxNotesListed)}
}

// Contracts lists the contracts that this entry VM has applied.
func (c *Cluster) Contracts() *pb.ContractList {
	return &pb.ContractList{Contracts: c.contracts.View().Contracts()}
}
