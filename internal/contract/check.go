package contract

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"slices"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"google.golang.org/protobuf/proto"

	"github.com/lentilyard/lentilyard/internal/errs"
	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/units"
)

// Digest returns the SHA-256 of the deterministic encoding of the note.
func Digest(note *pb.ReleaseNote) []byte {
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(note)
	if err != nil {
		return nil // a string is not valid UTF-8; such a note is never accepted
	}
	sum := sha256.Sum256(encoded)
	return sum[:]
}

// Check returns the effects that a note would have, without applying it, and the resolved contracts that the note adds
// and changes, in this order. Every error is an *errs.Error of this package or of package units.
func Check(view *View, note *pb.ReleaseNote, table *units.Table) (*pb.NoteCheck, []*pb.ResolvedContract, error) {
	if err := checkNote(view, note); err != nil {
		return nil, nil, err
	}
	check := &pb.NoteCheck{Number: note.GetNumber()}
	var resolved []*pb.ResolvedContract
	for _, c := range contractsIn(note) {
		r, err := resolve(c, note.GetNumber(), table)
		if err != nil {
			return nil, nil, err
		}
		resolved = append(resolved, r)
		check.Effects = append(check.Effects, effectOn(view, c.GetName(), r))
	}
	for _, name := range note.GetWithdraw() {
		check.Effects = append(check.Effects, effectOn(view, name, nil))
	}
	return check, resolved, nil
}

// NewCommand checks a note and returns the command that applies it.
func NewCommand(view *View, note *pb.ReleaseNote, table *units.Table, acceptedBy string, now time.Time) (*pb.ConfigCommand, error) {
	_, resolved, err := Check(view, note, table)
	if err != nil {
		return nil, err
	}
	apply := &pb.ApplyNote{Note: note, Resolved: resolved, Digest: Digest(note), AcceptedUnixMs: now.UnixMilli(), AcceptedBy: acceptedBy}
	return &pb.ConfigCommand{Command: &pb.ConfigCommand_ApplyNote{ApplyNote: apply}}, nil
}

// Accepted returns the answer to the first submission if the note was accepted before, nil if no note with its number
// was, and ErrNumberTaken if another note has the number or the note is no longer kept.
func Accepted(view *View, note *pb.ReleaseNote) (*pb.AcceptedNote, error) {
	if note.GetNumber() == 0 || note.GetNumber() > view.LastNote() {
		return nil, nil
	}
	accepted := view.Note(note.GetNumber())
	if accepted == nil {
		return nil, ErrNumberTaken.With("note %d was accepted long ago and its text is no longer kept; the next number is %d", note.GetNumber(), view.LastNote()+1)
	}
	if !bytes.Equal(accepted.GetDigest(), Digest(note)) {
		return nil, ErrNumberTaken.With("note %d is already accepted: %s; the next number is %d", note.GetNumber(), summary(accepted), view.LastNote()+1)
	}
	return accepted, nil
}

// summary describes an accepted note in one line.
func summary(a *pb.AcceptedNote) string {
	n := a.GetNote()
	names := func(list []*pb.Contract) string {
		var names []string
		for _, c := range list {
			names = append(names, c.GetName())
		}
		return joinNames(names)
	}
	at := time.UnixMilli(a.GetAcceptedUnixMs()).UTC().Format(time.RFC3339)
	return fmt.Sprintf("author %q, accepted %s by %s, digest %x, add [%s], change [%s], withdraw [%s]",
		n.GetAuthor(), at, a.GetAcceptedBy(), a.GetDigest(), names(n.GetAdd()), names(n.GetChange()), joinNames(n.GetWithdraw()))
}

// joinNames lists the first names and the number of those left out.
func joinNames(names []string) string {
	const longest = 8
	if len(names) <= longest {
		return strings.Join(names, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(names[:longest], ", "), len(names)-longest)
}

// contractsIn returns the contracts that a note adds and changes, in this order.
func contractsIn(note *pb.ReleaseNote) []*pb.Contract {
	return slices.Concat(note.GetAdd(), note.GetChange())
}

// checkNote makes all checks that do not depend on the unit table. Apply repeats them; it cannot resolve quantities,
// since the replicated state holds no unit table.
func checkNote(view *View, note *pb.ReleaseNote) error {
	accepted, err := Accepted(view, note)
	if err != nil {
		return err
	}
	if accepted != nil {
		return ErrAlreadyAccepted.With("note %d is already accepted: %s", note.GetNumber(), summary(accepted))
	}
	if next := view.LastNote() + 1; note.GetNumber() != next {
		return ErrNumberGap.With("note %d does not follow the last accepted note; the next number is %d", note.GetNumber(), next)
	}
	if !isName(note.GetAuthor(), true) {
		return ErrMalformedNote.With("note %d: author %q is empty, longer than %d bytes or not printable", note.GetNumber(), note.GetAuthor(), maxNameBytes)
	}
	if len(note.GetAdd())+len(note.GetChange())+len(note.GetWithdraw()) == 0 {
		return ErrEmptyNote.With("note %d lists no contract", note.GetNumber())
	}
	return checkContracts(view, note)
}

// checkContracts checks the contracts that a note lists. Each may be listed once; added contracts must not exist, and
// changed and withdrawn ones must.
func checkContracts(view *View, note *pb.ReleaseNote) error {
	seen := map[string]bool{}
	once := func(name string) error {
		if seen[name] {
			return ErrContractTwice.With("note %d names contract %q twice", note.GetNumber(), name)
		}
		seen[name] = true
		return nil
	}
	for _, c := range note.GetAdd() {
		if err := firstError(once(c.GetName()), checkContract(c), requireAbsent(view, c.GetName())); err != nil {
			return err
		}
	}
	for _, c := range note.GetChange() {
		if err := firstError(once(c.GetName()), checkContract(c), requireExists(view, "change", c.GetName())); err != nil {
			return err
		}
	}
	for _, name := range note.GetWithdraw() {
		if err := firstError(once(name), requireExists(view, "withdraw", name)); err != nil {
			return err
		}
	}
	return nil
}

func firstError(list ...error) error {
	for _, err := range list {
		if err != nil {
			return err
		}
	}
	return nil
}

func requireAbsent(view *View, name string) error {
	if existing := view.Contract(name); existing != nil {
		return ErrContractExists.With("add: contract %q exists since note %d", name, existing.GetNote())
	}
	return nil
}

func requireExists(view *View, action, name string) error {
	if view.Contract(name) == nil {
		return ErrContractMissing.With("%s: contract %q does not exist", action, name)
	}
	return nil
}

// maxNameBytes bounds the names of contracts, members, teams and authors.
const maxNameBytes = 128

// isName reports whether s is not empty, printable and at most maxNameBytes long. Blanks are allowed only in the names
// of authors, since callers send the other names in HTTP headers.
func isName(s string, blanks bool) bool {
	if s == "" || len(s) > maxNameBytes || !utf8.ValidString(s) {
		return false
	}
	return strings.IndexFunc(s, func(r rune) bool { return !unicode.IsPrint(r) || !blanks && r == ' ' }) < 0
}

func checkContract(c *pb.Contract) error {
	if !isName(c.GetName(), false) {
		return ErrMalformedContract.With("contract name %q is empty, longer than %d bytes, or contains blanks or unprintable characters", c.GetName(), maxNameBytes)
	}
	if team := c.GetTeam(); team != "" && !isName(team, false) {
		return ErrMalformedContract.With("contract %q: team %q is longer than %d bytes, or contains blanks or unprintable characters", c.GetName(), team, maxNameBytes)
	}
	if service := c.GetTerms().GetService(); service != "" && !isName(service, false) {
		return ErrMalformedContract.With("contract %q: terms.service %q is longer than %d bytes, or contains blanks or unprintable characters", c.GetName(), service, maxNameBytes)
	}
	if !isName(c.GetMember(), false) {
		return ErrMalformedContract.With("contract %q: member %q is empty, longer than %d bytes, or contains blanks or unprintable characters", c.GetName(), c.GetMember(), maxNameBytes)
	}
	return checkShares(c)
}

func checkShares(c *pb.Contract) error {
	if len(c.GetShares()) > maxShares {
		return ErrMalformedContract.With("contract %q lists %d shares, more than %d", c.GetName(), len(c.GetShares()), maxShares)
	}
	seen := map[string]bool{}
	for _, s := range c.GetShares() {
		if s.GetParts() == 0 || s.GetParts() > maxParts {
			return ErrMalformedContract.With("contract %q: shares: %q has %d parts; parts are 1 to %d", c.GetName(), s.GetFailureDomain(), s.GetParts(), maxParts)
		}
		if s.GetFailureDomain() == "" || seen[s.GetFailureDomain()] {
			return ErrMalformedContract.With("contract %q: shares: failure domain %q is empty or listed twice", c.GetName(), s.GetFailureDomain())
		}
		seen[s.GetFailureDomain()] = true
	}
	return nil
}

// CheckDomains returns an error if a note lists a share in a failure domain that is not one of domains. The replicated
// state does not hold the failure domains of the settings, so the entry VM that accepts the note calls CheckDomains in
// addition to Check.
func CheckDomains(note *pb.ReleaseNote, domains []string) error {
	for _, c := range contractsIn(note) {
		for _, s := range c.GetShares() {
			if !slices.Contains(domains, s.GetFailureDomain()) {
				return ErrUnknownDomain.With("contract %q: shares: failure domain %q does not exist", c.GetName(), s.GetFailureDomain())
			}
		}
	}
	return nil
}

// resolve converts the quantities of a contract to base units. A quantity that is not written becomes 0.
func resolve(c *pb.Contract, note uint64, table *units.Table) (*pb.ResolvedContract, error) {
	limits := &pb.ResolvedLimits{}
	fields := []struct {
		name, quantity string
		dimension      units.Dimension
		into           *int64
	}{
		{"limits.cores", c.GetLimits().GetCores(), units.Processor, &limits.Millicores},
		{"limits.memory", c.GetLimits().GetMemory(), units.Memory, &limits.MemoryBytes},
		{"limits.accelerators", c.GetLimits().GetAccelerators(), units.Accelerator, &limits.Accelerators},
		{"limits.tasks", c.GetLimits().GetTasks(), units.Count, &limits.Tasks},
		{"limits.requestRate", c.GetLimits().GetRequestRate(), units.Rate, &limits.RequestRate},
		{"terms.deadline", c.GetTerms().GetDeadline(), units.Time, &limits.DeadlineMs},
	}
	for _, f := range fields {
		if f.quantity == "" {
			continue
		}
		value, err := table.Resolve(f.quantity, f.dimension)
		if err != nil {
			typed := errs.From(err)
			return nil, typed.With("contract %q, field %s: %s", c.GetName(), f.name, typed.Message)
		}
		*f.into = value
	}
	return &pb.ResolvedContract{Written: c, Resolved: limits, Note: note}, nil
}

// effectOn describes the change of one contract; after is nil if it is withdrawn.
func effectOn(view *View, name string, after *pb.ResolvedContract) *pb.NoteEffect {
	before := view.Contract(name)
	action := "change"
	switch {
	case before == nil:
		action = "add"
	case after == nil:
		action = "withdraw"
	}
	return &pb.NoteEffect{Contract: name, Action: action, Before: before, After: after}
}
