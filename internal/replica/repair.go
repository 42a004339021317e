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

// RepairResult describes the state with which a repaired group continues.
type RepairResult struct {
	// Index is the index of the last entry that the VM holds. The repair commits
	// all entries up to it.
	Index uint64
	// Term is the term of that entry.
	Term uint64
	// Previous are the voters before the repair.
	Previous []Member
}

// repairTermIncrement is added to the last term that the chosen VM has seen.
// Other VMs may have seen later terms of the old group, and a worker refuses
// commands with a lower term than it has seen.
const repairTermIncrement = 1000

// Repair makes a VM with a disk the only voter of a group that has permanently
// lost its quorum. Operators call it while the host of the data folder and all
// other VMs of the group are stopped. Entries that only the lost VMs held are
// lost, and entries that were never acknowledged may be committed. Of the VMs
// that are left, the one with the highest Index should be repaired.
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
	disk, state, err := openDisk(fs, false, nil)
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
		Term:          max(state.hardState.GetTerm(), last.Term) + repairTermIncrement,
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
