package replica

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/raft"
	"github.com/lentilyard/lentilyard/internal/wal"
)

// RepairResult describes the state from which a repaired group continues.
type RepairResult struct {
	// Index is the last entry. Everything up to it counts as committed.
	Index uint64
	// Term of that entry before the repair.
	Term uint64
	// Previous are the voters before the repair.
	Previous []Member
}

// repairTerms is the distance of the repaired group's term from the last one
// seen here. Other VMs may have seen later terms of the old group; a worker
// refuses commands of terms lower than it has seen.
const repairTerms = 1000

// Repair makes a VM with a disk the only voter of a group that has lost its
// quorum for good. It is for operators: the host of the data folder must be
// stopped, and so must every other VM of the group. Entries that only lost VMs
// held are gone, entries that were never acknowledged may come into force.
// Choose the VM with the highest Index.
//
// The repaired group has a new group id. The other VMs must be started with an
// empty folder for this group; they join as learners and become voters again.
func Repair(vm, dataFolder, group string) (*RepairResult, error) {
	lock, err := wal.Lock(dataFolder)
	if err != nil {
		return nil, fmt.Errorf("lock data folder: %w", err)
	}
	result, err := repairFolder(vm, groupFolder(dataFolder, group))
	if err != nil {
		err = fmt.Errorf("repair group %q: %w", group, err)
	}
	return result, errors.Join(err, lock.Release())
}

func repairFolder(vm, folder string) (*RepairResult, error) {
	if _, err := os.Stat(folder); err != nil {
		return nil, fmt.Errorf("open log: %w", err)
	}
	fs, err := wal.OpenFolder(folder)
	if err != nil {
		return nil, err
	}
	disk, state, err := openDisk(fs, false)
	if err != nil {
		return nil, err
	}
	result, err := repairState(disk, state, vm)
	return result, errors.Join(err, disk.close())
}

func repairState(disk *diskStorage, state *recoveredState, vm string) (*RepairResult, error) {
	self := raft.ID{VM: vm, Incarnation: state.identity.GetIncarnation()}
	last, err := raft.LastState(state.snapshot, state.entries)
	if err != nil {
		return nil, err
	}
	if len(last.Voters) == 0 {
		return nil, errors.New("the folder holds no state of the group")
	}
	hardState := &pb.RaftHardState{
		Term:          max(state.hardState.GetTerm(), last.Term) + repairTerms,
		Commit:        last.Index + 1,
		ConfirmedBoot: state.identity.GetBoot(),
	}
	entry := raft.SoleVoterEntry(last.Index+1, hardState.GetTerm(), self, randomNonZero())
	written := make(chan error, 1)
	disk.write(raft.Ready{Write: 1, HardState: hardState, Commit: hardState.GetCommit(), Entries: []*pb.RaftEntry{entry}},
		func(err error) { written <- err })
	if err := <-written; err != nil {
		return nil, err
	}
	return &RepairResult{Index: last.Index, Term: last.Term, Previous: last.Voters}, nil
}

func groupFolder(dataFolder, group string) string {
	return filepath.Join(dataFolder, "groups", group)
}
