package raft

import "github.com/lentilyard/lentilyard/internal/pb"

// LogState describes the end of a recovered log.
type LogState struct {
	Index, Term uint64
	Voters      []ID
}

// LastState returns the end of a recovered log and the voters of the latest membership in it.
func LastState(snapshot *pb.RaftSnapshot, entries []*pb.RaftEntry) (LogState, error) {
	log, err := newEntryLog(snapshot, entries, 0)
	if err != nil {
		return LogState{}, err
	}
	m := parseMembership(snapshot.GetIndex(), snapshot.GetMembership())
	for _, e := range log.entries {
		if e.GetType() == pb.RaftEntryType_RAFT_ENTRY_TYPE_MEMBERSHIP {
			m = parseMembership(e.GetIndex(), e.GetMembership())
		}
	}
	return LogState{Index: log.last(), Term: log.lastTerm(), Voters: m.voters}, nil
}

// SoleVoterEntry returns an entry that makes id the only member of a new group. It breaks the rule
// that a membership changes by one voter at a time. It is for offline repairs only, while no other
// member runs.
func SoleVoterEntry(index, term uint64, id ID, groupID uint64) *pb.RaftEntry {
	return &pb.RaftEntry{
		Index: index, Term: term, Type: pb.RaftEntryType_RAFT_ENTRY_TYPE_MEMBERSHIP,
		Membership: &pb.RaftMembership{GroupId: groupID, Members: []*pb.RaftMember{{Id: id.proto(), Voter: true}}},
	}
}
