package settings

import (
	"encoding/hex"
	"fmt"
	"math"
	"net/netip"
	"regexp"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/lentilyard/lentilyard/internal/errs"
	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/units"
)

func validate(r *report, s *pb.Settings) {
	v := validator{report: r, s: s, vms: map[string]*pb.EntryVM{}, domains: map[string]bool{}}
	v.failureDomains()
	v.entryVMs()
	v.ownVM()
	v.voters()
	v.tls()
	v.tokens()
	v.units()
	v.timing()
	v.limits()
	v.logAndPolicy()
}

// validator checks settings that have their defaults.
type validator struct {
	*report
	s       *pb.Settings
	vms     map[string]*pb.EntryVM // by id
	domains map[string]bool        // names of the failure domains
}

// domainName matches valid names of failure domains, which become part of the name and the folder of a group.
var domainName = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]*$`)

func (v validator) failureDomains() {
	if len(v.s.FailureDomains) == 0 {
		v.addAt("failureDomains", "list every failure domain with name and voters", "failureDomains lists no domain")
	}
	for i, d := range v.s.FailureDomains {
		path := fmt.Sprintf("failureDomains[%d]", i)
		switch {
		case d.Name == "":
			v.addAt(path, "give it a name", "%s has no name", path)
		case !domainName.MatchString(d.Name):
			v.addAt(path+".name", `use lower-case letters, digits, "-" and "."`, "failure domain %q has a name that cannot be used", d.Name)
		}
		if v.domains[d.Name] {
			v.addAt(path+".name", "give each failure domain its own name", "failure domain %q is listed twice", d.Name)
		}
		v.domains[d.Name] = true
	}
}

func (v validator) entryVMs() {
	addresses := map[string]string{}
	for i, vm := range v.s.EntryVms {
		path := fmt.Sprintf("entryVms[%d]", i)
		if vm.Id == "" {
			v.addAt(path, "give it an id", "%s has no id", path)
		}
		if v.vms[vm.Id] != nil {
			v.addAt(path+".id", "give each entry VM its own id", "entry VM %q is listed twice", vm.Id)
		}
		v.vms[vm.Id] = vm
		v.vmDomain(path, vm)
		v.vmAddress(path+".httpAddress", vm.HttpAddress, addresses)
		v.vmAddress(path+".peerAddress", vm.PeerAddress, addresses)
	}
}

func (v validator) vmDomain(path string, vm *pb.EntryVM) {
	if vm.FailureDomain == "" {
		v.addAt(path, "add failureDomain", "entry VM %q has no failure domain", vm.Id)
		return
	}
	if !v.domains[vm.FailureDomain] {
		v.addAt(path+".failureDomain", "list it under failureDomains or correct the name",
			"entry VM %q is in failure domain %q, which does not exist", vm.Id, vm.FailureDomain)
	}
}

// vmAddress checks an address that other processes connect to. seen maps the addresses checked so far to their paths.
func (v validator) vmAddress(path, address string, seen map[string]string) {
	parsed, ok := v.address(path, address)
	if !ok {
		return
	}
	if parsed.Addr().IsUnspecified() {
		v.addAt(path, "write the IP that other VMs reach it by", "%s: other VMs cannot connect to the unspecified address %s", path, address)
	}
	if first, duplicate := seen[parsed.String()]; duplicate {
		v.addAt(path, "give each listener its own address", "%s: address %s is already used by %s", path, address, first)
	}
	seen[parsed.String()] = path
}

func (v validator) address(path, address string) (netip.AddrPort, bool) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Port() == 0 {
		v.addAt(path, `write IP:port with a port from 1 to 65535, such as "10.0.0.1:7080"`, "%s: %q is not IP:port", path, truncate(address))
		return netip.AddrPort{}, false
	}
	return parsed, true
}

// ownVM checks the settings of this entry VM against its entry in entryVms.
func (v validator) ownVM() {
	httpAddress, httpOK := v.address("listen.http", v.s.Listen.Http)
	peerAddress, peerOK := v.address("listen.peer", v.s.Listen.Peer)
	if httpOK && peerOK && httpAddress == peerAddress {
		v.addAt("listen.peer", "give each listener its own address", "listen.peer and listen.http are both %s", v.s.Listen.Peer)
	}
	vm := v.vms[v.s.Id]
	if vm == nil || v.s.Id == "" {
		v.addAt("id", "add this VM to entryVms or correct the id", "id %q does not appear in entryVms", v.s.Id)
		return
	}
	if vm.Disk && v.s.DataFolder == "" {
		v.addAt("id", "set dataFolder, or set disk to false in the settings of every entry VM", "entryVms says that %q has a disk, but dataFolder is not set", v.s.Id)
	}
	if !vm.Disk && v.s.DataFolder != "" {
		v.addAt("dataFolder", "set disk to true in the settings of every entry VM, or remove dataFolder", "dataFolder is set, but entryVms says that %q has no disk", v.s.Id)
	}
}

func (v validator) voters() {
	v.groupVoters("configVoters", "the config group", v.s.ConfigVoters)
	v.configVoterSpread()
	for i, d := range v.s.FailureDomains {
		v.groupVoters(fmt.Sprintf("failureDomains[%d].voters", i), fmt.Sprintf("failure domain %q", d.Name), d.Voters)
	}
}

// groupVoters checks the voters of one group. name is the group's name in messages.
func (v validator) groupVoters(path, name string, voters []string) {
	if len(voters) == 0 {
		v.addAt(path, "list the ids of the entry VMs that vote", "%s has no voters", name)
		return
	}
	disks := 0
	for i, id := range voters {
		vm := v.vms[id]
		if vm == nil {
			v.addAt(fmt.Sprintf("%s[%d]", path, i), "add it to entryVms or correct the id", "voter %q of %s does not appear in entryVms", id, name)
			return
		}
		if slices.Contains(voters[:i], id) {
			v.addAt(fmt.Sprintf("%s[%d]", path, i), "remove one of the two", "voter %q of %s is listed twice", id, name)
			return
		}
		if vm.Disk {
			disks++
		}
	}
	if 2*disks <= len(voters) && !v.s.AllowMemoryQuorum {
		v.addAt(path, "choose voters such that a majority has disks, or set allowMemoryQuorum and accept the loss of state when all processes are lost",
			"only %d of the %d voters of %s have disks", disks, len(voters), name)
	}
}

// configVoterSpread rejects config voters that would lose their quorum with a single failure domain.
func (v validator) configVoterSpread() {
	const minDomains = 3 // of two failure domains, one always holds at least half of the voters
	if len(v.domains) < minDomains {
		return
	}
	byDomain := map[string]int{}
	for _, id := range v.s.ConfigVoters {
		domain := v.vms[id].GetFailureDomain()
		byDomain[domain]++
		if 2*byDomain[domain] > len(v.s.ConfigVoters) {
			v.addAt("configVoters", "choose voters in more failure domains", "failure domain %q holds a majority of configVoters", domain)
			return
		}
	}
}

func (v validator) tls() {
	p, h := v.s.GetPeerTls(), v.s.GetHttpTls()
	if (len(v.s.EntryVms) > 1 || p != nil) && (p.GetCaFile() == "" || p.GetCertFile() == "" || p.GetKeyFile() == "") {
		v.addAt("peerTls", "make keys with 'lentilyard keys' and set all three", "peerTls must set caFile, certFile and keyFile")
	}
	if h != nil && (h.GetCertFile() == "" || h.GetKeyFile() == "") {
		v.addAt("httpTls", "set both or remove httpTls", "httpTls must set certFile and keyFile")
	}
}

var roles = []string{"caller", "operator", "target", "worker"}

func (v validator) tokens() {
	names, digests := map[string]bool{}, map[string]bool{}
	for i, t := range v.s.Tokens {
		path := fmt.Sprintf("tokens[%d]", i)
		if t.Name == "" {
			v.addAt(path, "give it a name, which appears in the log", "%s has no name", path)
		}
		if names[t.Name] || digests[t.Sha256] {
			v.addAt(path, "give each token its own name and value", "token %q has the name or digest of an earlier one", t.Name)
		}
		names[t.Name], digests[t.Sha256] = true, true
		digest, err := hex.DecodeString(t.Sha256)
		if err != nil || len(digest) != 32 || strings.ToLower(t.Sha256) != t.Sha256 {
			v.addAt(path+".sha256", "write the SHA-256 of the token as 64 lower-case hex digits", "token %q: sha256 is malformed", t.Name)
		}
		v.tokenRole(path, t)
	}
}

func (v validator) tokenRole(path string, t *pb.Token) {
	if !slices.Contains(roles, t.Role) {
		v.addAt(path+".role", "write one of "+strings.Join(roles, ", "), "token %q: role %q does not exist", t.Name, truncate(t.Role))
	}
	if t.Role == "operator" && t.Member != "" {
		v.addAt(path+".member", "remove member", "token %q: an operator token must not have a member", t.Name)
	}
	if t.Role == "caller" && t.Member == "" {
		v.addAt(path, "add member", "token %q: a caller needs a member", t.Name)
	}
}

func (v validator) units() {
	seen := map[string]bool{}
	for i, u := range v.s.Units {
		path := fmt.Sprintf("units[%d]", i)
		if _, err := units.ParseUnit(u); err != nil {
			v.addAt(v.invalidUnitField(path, u), `write name, dimension and a factor > 0, such as "1000", "0.5" or "3/4"`, "%s: %s", path, errs.From(err).Message)
		}
		if seen[u.Name] {
			v.addAt(path+".name", "remove one of the two", "unit %q is listed twice", u.Name)
		}
		seen[u.Name] = true
	}
}

// invalidUnitField returns the path of the first invalid field of a unit.
func (v validator) invalidUnitField(path string, u *pb.Unit) string {
	if units.CheckName(u.Name) != nil {
		return path + ".name"
	}
	if _, err := units.ParseDimension(u.Dimension); err != nil {
		return path + ".dimension"
	}
	return path + ".factor"
}

func (v validator) timing() {
	t := v.s.Timing
	v.atLeastMillisecond("timing.announceLease", t.AnnounceLease)
	v.atLeastMillisecond("timing.announceInterval", t.AnnounceInterval)
	v.atLeastMillisecond("timing.attemptLease", t.AttemptLease)
	v.atLeastMillisecond("timing.loadReportInterval", t.LoadReportInterval)
	v.atLeastMillisecond("timing.raftHeartbeat", t.RaftHeartbeat)
	v.atLeastMillisecond("timing.raftElection", t.RaftElection)
	v.atLeastMillisecond("timing.drainTimeout", t.DrainTimeout)
	v.atLeastMillisecond("limits.defaultDeadline", v.s.Limits.DefaultDeadline)
	v.atMostHalf("timing.announceInterval", t.AnnounceInterval, "timing.announceLease", t.AnnounceLease)
	v.atMostHalf("timing.raftHeartbeat", t.RaftHeartbeat, "timing.raftElection", t.RaftElection)
}

// atLeastMillisecond requires a duration of at least 1 ms.
func (v validator) atLeastMillisecond(path string, d *durationpb.Duration) {
	if d.AsDuration() < time.Millisecond {
		v.addAt(path, "write at least 1ms", "%s: %s is too short", path, d.AsDuration())
	}
}

// atMostHalf requires that an interval is at most half of a lease or timeout, so that a single lost message does not let
// the lease or timeout expire.
func (v validator) atMostHalf(path string, interval *durationpb.Duration, limitPath string, limit *durationpb.Duration) {
	if 2*interval.AsDuration() > limit.AsDuration() {
		v.addAt(path, "write at most half of "+limitPath, "%s: %s is more than half of %s, which is %s", path, interval.AsDuration(), limitPath, limit.AsDuration())
	}
}

func (v validator) limits() {
	const maxPercent = 100
	if v.s.Limits.MaxBodyBytes < 0 {
		v.addAt("limits.maxBodyBytes", "write a number greater than 0", "limits.maxBodyBytes is negative")
	}
	if v.s.Limits.RetryBudgetPercent > maxPercent {
		v.addAt("limits.retryBudgetPercent", "write 1 to 100", "limits.retryBudgetPercent: %d is more than 100", v.s.Limits.RetryBudgetPercent)
	}
}

func (v validator) logAndPolicy() {
	levels, decisions := []string{"debug", "info", "warn", "error"}, []string{"on", "off"}
	if !slices.Contains(levels, v.s.Log.Level) {
		v.addAt("log.level", "write one of "+strings.Join(levels, ", "), "log.level: unknown level %q", truncate(v.s.Log.Level))
	}
	if !slices.Contains(decisions, v.s.Log.Decisions) {
		v.addAt("log.decisions", `write "on" or "off"`, "log.decisions: unknown value %q", truncate(v.s.Log.Decisions))
	}
	v.positiveWeight("policy.tailLatencyWeight", v.s.Policy.TailLatencyWeight)
	v.positiveWeight("policy.throughputWeight", v.s.Policy.ThroughputWeight)
}

func (v validator) positiveWeight(path string, weight float64) {
	if !(weight > 0) || math.IsInf(weight, 0) {
		v.addAt(path, "write a number greater than 0", "%s: %g is not a positive finite number", path, weight)
	}
}

// rejectExplicitZeros reports fields that the file sets to 0. setDefaults would otherwise replace the 0 by the default
// without notice.
func rejectExplicitZeros(r *report, s *pb.Settings) {
	limits, policy := s.GetLimits(), s.GetPolicy()
	refuse := func(path string, isZero bool) {
		if line, written := r.lines[path]; written && isZero {
			r.add(line, "write a number greater than 0, or remove the key to use the default", "%s: 0 is not possible", path)
		}
	}
	refuse("limits.maxBodyBytes", limits.GetMaxBodyBytes() == 0)
	refuse("limits.maxQueue", limits.GetMaxQueue() == 0)
	refuse("limits.retryBudgetPercent", limits.GetRetryBudgetPercent() == 0)
	refuse("limits.maxRequestRecords", limits.GetMaxRequestRecords() == 0)
	refuse("limits.memoryMb", limits.GetMemoryMb() == 0)
	refuse("limits.descriptors", limits.GetDescriptors() == 0)
	refuse("policy.tailLatencyWeight", policy.GetTailLatencyWeight() == 0)
	refuse("policy.throughputWeight", policy.GetThroughputWeight() == 0)
}
