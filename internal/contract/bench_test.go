package contract

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// stateWithContracts returns a state with the given number of contracts, added by notes of up to 1000 contracts.
func stateWithContracts(b *testing.B, contracts int) *State {
	b.Helper()
	s := New()
	for set := 0; set < contracts; {
		note := &pb.ReleaseNote{Number: s.View().LastNote() + 1, Author: "K"}
		for ; set < contracts && len(note.Add) < 1000; set++ {
			c := newContract(fmt.Sprintf("contract-%06d", set), "40 core")
			c.Limits.Memory, c.Terms.Service = "160 GiB", fmt.Sprintf("service-%d", set%50)
			note.Add = append(note.Add, c)
		}
		if _, err := submit(b, s, note); err != nil {
			b.Fatal(err)
		}
	}
	return s
}

// BenchmarkApply measures the application of a note that changes one contract, for several numbers of contracts.
func BenchmarkApply(b *testing.B) {
	for _, contracts := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprintf("contracts=%d", contracts), func(b *testing.B) {
			s := stateWithContracts(b, contracts)
			entries := make([][]byte, b.N)
			for i := range entries {
				entries[i] = changeEntry(b, s.View(), uint64(i))
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i, entry := range entries {
				if _, ok := s.Apply(uint64(i), 1, entry).(*pb.AcceptedNote); !ok {
					b.Fatal("refused")
				}
			}
		})
	}
}

// changeEntry returns the entry of a note that changes one contract. offset is the number of notes that will be
// applied before it.
func changeEntry(b *testing.B, v *View, offset uint64) []byte {
	note := &pb.ReleaseNote{Number: v.LastNote() + 1 + offset, Author: "K", Change: []*pb.Contract{newContract("contract-000001", "41 core")}}
	resolved := []*pb.ResolvedContract{{Written: note.Change[0], Resolved: &pb.ResolvedLimits{Millicores: 41000}, Note: note.Number}}
	apply := &pb.ApplyNote{Note: note, Resolved: resolved, Digest: Digest(note), AcceptedUnixMs: time.Now().UnixMilli()}
	entry, err := proto.Marshal(&pb.ConfigCommand{Command: &pb.ConfigCommand_ApplyNote{ApplyNote: apply}})
	if err != nil {
		b.Fatal(err)
	}
	return entry
}

// BenchmarkSnapshot measures the time and the size of a snapshot, for several numbers of contracts.
func BenchmarkSnapshot(b *testing.B) {
	for _, contracts := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprintf("contracts=%d", contracts), func(b *testing.B) {
			s := stateWithContracts(b, contracts)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				data, err := s.Snapshot()
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(len(data)), "snapshot-bytes")
			}
		})
	}
}

// BenchmarkStateSize measures the heap size of a state, for several numbers of contracts and accepted notes.
func BenchmarkStateSize(b *testing.B) {
	for _, c := range []struct{ contracts, notes int }{{100, 1}, {1000, 1}, {10_000, 10}, {1000, 1000}, {1000, 5000}, {1000, 20_000}} {
		b.Run(fmt.Sprintf("contracts=%d/notes=%d", c.contracts, c.notes), func(b *testing.B) {
			for range b.N {
				before := heapBytes()
				s := stateWithContracts(b, c.contracts)
				for int(s.View().LastNote()) < c.notes {
					s.Apply(1, 1, changeEntry(b, s.View(), 0))
				}
				b.ReportMetric(float64(heapBytes()-before), "heap-bytes")
				runtime.KeepAlive(s)
			}
		})
	}
}

func heapBytes() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// BenchmarkCheck measures the check of a note that changes one contract.
func BenchmarkCheck(b *testing.B) {
	s, table := stateWithContracts(b, 10_000), testTable(b)
	note := &pb.ReleaseNote{Number: s.View().LastNote() + 1, Author: "K", Change: []*pb.Contract{newContract("contract-000001", "41 core")}}
	b.ReportAllocs()
	for b.Loop() {
		if _, _, err := Check(s.View(), note, table); err != nil {
			b.Fatal(err)
		}
	}
}
