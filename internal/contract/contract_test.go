package contract

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/lentilyard/lentilyard/internal/errs"
	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/units"
)

func testTable(t testing.TB) *units.Table {
	t.Helper()
	table, err := units.New([]*pb.Unit{
		{Name: "core", Dimension: "processor", Factor: "1000"}, {Name: "GiB", Dimension: "memory", Factor: "1073741824"},
		{Name: "ms", Dimension: "time", Factor: "1"}, {Name: "third", Dimension: "processor", Factor: "1/3"},
	})
	if err != nil {
		t.Fatal(err)
	}
	return table
}

func newContract(name, cores string) *pb.Contract {
	return &pb.Contract{Name: name, Member: "hanbit", Limits: &pb.ContractLimits{Cores: cores}, Terms: &pb.ServiceTerms{Service: "kits"}}
}

// submit checks and applies a note as an entry VM does.
func submit(t testing.TB, s *State, note *pb.ReleaseNote) (*pb.AcceptedNote, error) {
	t.Helper()
	command, err := NewCommand(s.View(), note, testTable(t), "a1", time.UnixMilli(5))
	if err != nil {
		return nil, err
	}
	return apply(t, s, command)
}

// apply applies a command and returns the answer of Apply.
func apply(t testing.TB, s *State, command *pb.ConfigCommand) (*pb.AcceptedNote, error) {
	t.Helper()
	entry, err := proto.Marshal(command)
	if err != nil {
		t.Fatal(err)
	}
	switch result := s.Apply(s.View().LastNote()+100, 1, entry).(type) {
	case *pb.AcceptedNote:
		return result, nil
	case *errs.Error:
		return nil, result
	}
	t.Fatal("Apply returned neither a note nor an error")
	return nil, nil
}

func firstNote() *pb.ReleaseNote {
	return &pb.ReleaseNote{Number: 1, Author: "Kim", Add: []*pb.Contract{newContract("kits", "40 core"), newContract("dyes", "8 core")}}
}

// TestRefusedNotes guards against a note that is applied in part, and against a refusal with the wrong error.
func TestRefusedNotes(t *testing.T) {
	bad := func(change func(c *pb.Contract)) *pb.ReleaseNote {
		c := newContract("new", "1 core")
		change(c)
		return &pb.ReleaseNote{Number: 2, Author: "Kim", Add: []*pb.Contract{newContract("ok", "1 core"), c}}
	}
	change := func(c ...*pb.Contract) *pb.ReleaseNote { return &pb.ReleaseNote{Number: 2, Author: "Kim", Change: c} }
	cases := []struct {
		name string
		note *pb.ReleaseNote
		err  error
		want string
	}{
		{"unknown unit", bad(func(c *pb.Contract) { c.Limits.Cores = "4 bench" }), units.ErrUnknown, `contract "new", field limits.cores: "4 bench": unit "bench"`},
		{"dimension", bad(func(c *pb.Contract) { c.Limits.Memory = "4 core" }), units.ErrDimension, `contract "new", field limits.memory`},
		{"not whole", bad(func(c *pb.Contract) { c.Limits.Cores = "4 third" }), units.ErrNotWhole, `is 4/3 millicore`},
		{"deadline", bad(func(c *pb.Contract) { c.Terms.Deadline = "250" }), units.ErrMalformed, `field terms.deadline`},
		{"no member", bad(func(c *pb.Contract) { c.Member = "" }), ErrMalformedContract, `member`},
		{"name with blank", bad(func(c *pb.Contract) { c.Name = "a b" }), ErrMalformedContract, `"a b"`},
		{"share twice", bad(func(c *pb.Contract) {
			c.Shares = []*pb.DomainShare{{FailureDomain: "w", Parts: 1}, {FailureDomain: "w", Parts: 1}}
		}), ErrMalformedContract, `"w"`},
		{"share of 0", bad(func(c *pb.Contract) { c.Shares = []*pb.DomainShare{{FailureDomain: "w"}} }), ErrMalformedContract, `0 parts`},
		{"exists", bad(func(c *pb.Contract) { c.Name = "kits" }), ErrContractExists, `"kits" exists since note 1`},
		{"change missing", change(newContract("gone", "1 core")), ErrContractMissing, `change: contract "gone"`},
		{"withdraw missing", &pb.ReleaseNote{Number: 2, Author: "K", Withdraw: []string{"gone"}}, ErrContractMissing, `withdraw: contract "gone"`},
		{"twice", &pb.ReleaseNote{Number: 2, Author: "K", Change: []*pb.Contract{newContract("kits", "1 core")}, Withdraw: []string{"kits"}}, ErrContractTwice, `"kits" twice`},
		{"gap", &pb.ReleaseNote{Number: 3, Author: "K", Withdraw: []string{"kits"}}, ErrNumberGap, `next number is 2`},
		{"number 0", &pb.ReleaseNote{Author: "K", Withdraw: []string{"kits"}}, ErrNumberGap, `next number is 2`},
		{"number taken", &pb.ReleaseNote{Number: 1, Author: "Lee", Withdraw: []string{"kits"}}, ErrNumberTaken, `author "Kim", accepted 1970-01-01T00:00:00Z by a1`},
		{"accepted", firstNote(), ErrAlreadyAccepted, `add [kits, dyes]`},
		{"empty", &pb.ReleaseNote{Number: 2, Author: "K"}, ErrEmptyNote, `no contract`},
		{"no author", &pb.ReleaseNote{Number: 2, Withdraw: []string{"kits"}}, ErrMalformedNote, `author`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := New()
			_, err := submit(t, s, firstNote())
			is.NoErr(err)
			before := s.View()
			_, err = submit(t, s, c.note)
			t.Log(err)
			is.True(errors.Is(err, c.err))
			is.True(strings.Contains(err.Error(), c.want))
			is.True(errs.From(err).Remedy != "")
			is.True(s.View() == before)
		})
	}
}

// TestConcurrentNotesWithOneNumber guards against two notes with the same number that both pass Check, because two
// operators send them at the same time, and are both applied.
func TestConcurrentNotesWithOneNumber(t *testing.T) {
	is := is.New(t)
	s := New()
	lee := &pb.ReleaseNote{Number: 1, Author: "Lee", Add: []*pb.Contract{newContract("lee", "1 core")}}
	first, err := NewCommand(s.View(), firstNote(), testTable(t), "a1", time.UnixMilli(5))
	is.NoErr(err)
	second, err := NewCommand(s.View(), lee, testTable(t), "b1", time.UnixMilli(6))
	is.NoErr(err)
	answer, err := apply(t, s, first)
	is.NoErr(err)
	_, err = apply(t, s, second)
	is.True(errors.Is(err, ErrNumberTaken))
	again, err := apply(t, s, first)
	is.NoErr(err)
	is.True(proto.Equal(again, answer)) // the answer to the first submission, with the index of its entry
	is.Equal(s.View().Contract("lee"), nil)
	forged := proto.Clone(second).(*pb.ConfigCommand)
	forged.GetApplyNote().Note.Number = 2
	_, err = apply(t, s, forged)
	is.True(errors.Is(err, ErrMalformedEntry)) // the resolved contracts belong to another note
}

// TestAgainstModel applies random notes to the state and to a map as its model, and compares the two. It also guards
// against a published view that changes and against a snapshot that restores to a different state.
func TestAgainstModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s, model := New(), map[string]string{}
		for range rapid.IntRange(1, 20).Draw(rt, "notes") {
			note := drawNote(rt, s.View().LastNote()+1)
			want := modelAfter(model, note)
			view, list := s.View(), s.View().Contracts()
			_, err := submit(t, s, note)
			if (err == nil) != (want != nil) {
				rt.Fatalf("note %v: %v", note, err)
			}
			if want != nil {
				model = want
			}
			if !slices.Equal(view.Contracts(), list) {
				rt.Fatal("a published view changed")
			}
			compareWithModel(rt, s, model)
		}
	})
}

var drawnNames = []string{"a", "b", "c", "d"}

func drawNote(t *rapid.T, number uint64) *pb.ReleaseNote {
	note := &pb.ReleaseNote{Number: number, Author: "K"}
	for range rapid.IntRange(1, 3).Draw(t, "size") {
		c := newContract(rapid.SampledFrom(drawnNames).Draw(t, "name"), fmt.Sprintf("%d core", rapid.IntRange(0, 9).Draw(t, "cores")))
		switch rapid.IntRange(0, 2).Draw(t, "action") {
		case 0:
			note.Add = append(note.Add, c)
		case 1:
			note.Change = append(note.Change, c)
		default:
			note.Withdraw = append(note.Withdraw, c.Name)
		}
	}
	return note
}

// modelAfter returns the model after the note, or nil if the note must be refused.
func modelAfter(model map[string]string, note *pb.ReleaseNote) map[string]string {
	next, touched := map[string]string{}, map[string]bool{}
	for k, v := range model {
		next[k] = v
	}
	ok := true
	touch := func(name string, mustExist bool) {
		_, exists := model[name]
		ok = ok && exists == mustExist && !touched[name]
		touched[name] = true
	}
	for _, c := range note.Add {
		touch(c.Name, false)
		next[c.Name] = c.Limits.Cores
	}
	for _, c := range note.Change {
		touch(c.Name, true)
		next[c.Name] = c.Limits.Cores
	}
	for _, name := range note.Withdraw {
		touch(name, true)
		delete(next, name)
	}
	if !ok {
		return nil
	}
	return next
}

// compareWithModel fails the test if the state differs from the model, or the restored snapshot from the state.
func compareWithModel(t *rapid.T, s *State, model map[string]string) {
	view := s.View()
	if len(view.Contracts()) != len(model) || len(view.ForService("hanbit", "kits")) != len(model) {
		t.Fatalf("%d contracts, %d by service, want %d", len(view.Contracts()), len(view.ForService("hanbit", "kits")), len(model))
	}
	for name, cores := range model {
		c := view.Contract(name)
		if c.GetWritten().GetLimits().GetCores() != cores || fmt.Sprintf("%d core", c.GetResolved().GetMillicores()/1000) != cores {
			t.Fatalf("contract %s is %v, want %s", name, c, cores)
		}
	}
	snapshot, err := s.Snapshot()
	restored := New()
	if err != nil || restored.Restore(snapshot) != nil {
		t.Fatal("snapshot cannot be restored")
	}
	again, _ := restored.Snapshot()
	if !slices.Equal(again, snapshot) || restored.View().LastNote() != view.LastNote() {
		t.Fatal("restored state differs")
	}
}

// TestNotesAreBounded guards against a state that keeps the contracts of all accepted notes, and against the loss of the
// answer to a note that may still be sent again.
func TestNotesAreBounded(t *testing.T) {
	is := is.New(t)
	s := New()
	_, err := submit(t, s, firstNote())
	is.NoErr(err)
	for n := uint64(2); n <= maxFullNotes+10; n++ {
		_, err = submit(t, s, &pb.ReleaseNote{Number: n, Author: "K", Change: []*pb.Contract{newContract("kits", "1 core")}})
		is.NoErr(err)
	}
	is.Equal(len(s.View().fullNotes), maxFullNotes)
	is.Equal(len(s.View().Note(1).Note.Add), 0)
	is.Equal(len(s.View().Note(11).Note.Change), 1)
	first, err := Accepted(s.View(), firstNote())
	is.NoErr(err)
	is.Equal(first.Index, uint64(100))
}

// TestSharesAddUpToLimit guards against a quota that is granted twice. The failure domains decide independently, so
// their shares must add up to exactly the limit.
func TestSharesAddUpToLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &pb.ResolvedContract{Written: &pb.Contract{}, Resolved: &pb.ResolvedLimits{MemoryBytes: rapid.Int64Min(0).Draw(t, "limit")}}
		domains := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,3}`), 1, 20, rapid.ID[string]).Draw(t, "domains")
		if rapid.Bool().Draw(t, "written") {
			for _, d := range domains {
				c.Written.Shares = append(c.Written.Shares, &pb.DomainShare{FailureDomain: d, Parts: rapid.Uint32Range(1, maxParts).Draw(t, "parts")})
			}
		}
		var sum int64
		for _, d := range domains {
			share := DomainLimits(c, d, domains).MemoryBytes
			parts, total := Parts(c.Written, d, domains)
			ideal := float64(c.Resolved.MemoryBytes) * float64(parts) / float64(total)
			if share < 0 || float64(share)-ideal > 2+ideal/1e6 || ideal-float64(share) > 2+ideal/1e6 {
				t.Fatalf("share of %s is %d, want about %f", d, share, ideal)
			}
			sum += share
		}
		if sum != c.Resolved.MemoryBytes {
			t.Fatalf("shares add up to %d of %d", sum, c.Resolved.MemoryBytes)
		}
	})
}

// FuzzRestoreAndApply guards against panics on malformed snapshots and entries.
func FuzzRestoreAndApply(f *testing.F) {
	s := New()
	if _, err := submit(f, s, firstNote()); err != nil {
		f.Fatal(err)
	}
	snapshot, _ := s.Snapshot()
	f.Add(snapshot)
	f.Fuzz(func(t *testing.T, data []byte) {
		s := New()
		_ = s.Restore(data)
		s.Apply(1, 1, data)
		_ = s.View().Notes(3)
	})
}
