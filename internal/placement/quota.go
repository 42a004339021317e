package placement

import (
	"maps"
	"slices"
	"strings"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// account compares what is in use with a limit.
type account struct {
	limit, used vector
	// releasing is the part of used held by tasks that are being evicted.
	releasing vector
	// limited is false for an account without a limit of its own.
	limited bool
}

func (a *account) allows(size vector) bool {
	return !a.limited || a.used.Plus(size).Fits(a.limit)
}

// allowsSoon is like allows once the evictions in progress have ended.
func (a *account) allowsSoon(size vector) bool {
	return !a.limited || a.used.Minus(a.releasing).Plus(size).Fits(a.limit)
}

func (a *account) add(o *account) {
	a.used = a.used.Plus(o.used)
	a.releasing = a.releasing.Plus(o.releasing)
}

func (a *account) subtract(o *account) {
	a.used = a.used.Minus(o.used)
	a.releasing = a.releasing.Minus(o.releasing)
}

// contract is the quota of one contract. Its usage also counts for its team and its member.
type contract struct {
	name, member, team string
	account            account
	// tasks limits the placed batch tasks; 0 sets no limit.
	tasks, tasksUsed int64
	placed           []*task
	weight           float64
	urgent           bool
	known, withdrawn bool
	teamAccount      *account
	memberAccount    *account
}

// allows reports whether a task of the given size and class stays within contract, team and member.
func (c *contract) allows(size vector, class pb.TaskClass) bool {
	if !c.known {
		return false
	}
	if class == pb.TaskClass_TASK_CLASS_BATCH && c.tasks > 0 && c.tasksUsed >= c.tasks {
		return false
	}
	return c.account.allows(size) && c.teamAccount.allows(size) && c.memberAccount.allows(size)
}

func (c *contract) accounts() [3]*account {
	return [...]*account{&c.account, c.teamAccount, c.memberAccount}
}

// expectRelease counts (sign 1) or stops counting (sign -1) t as usage that ends soon.
func (c *contract) expectRelease(t *task, sign int64) {
	for _, a := range c.accounts() {
		a.releasing = a.releasing.Plus(t.size.Times(sign))
	}
}

// allowsSoon reports whether a task of the given size fits once the evictions in progress have ended.
func (c *contract) allowsSoon(size vector) bool {
	for _, a := range c.accounts() {
		if !a.allowsSoon(size) {
			return false
		}
	}
	return c.known
}

func (c *contract) take(t *task) {
	for _, a := range c.accounts() {
		a.used = a.used.Plus(t.size)
	}
	if t.batch() {
		c.tasksUsed++
	}
	t.inContract = len(c.placed)
	c.placed = append(c.placed, t)
}

func (c *contract) release(t *task) {
	for _, a := range c.accounts() {
		a.used = a.used.Minus(t.size)
	}
	if t.batch() {
		c.tasksUsed--
	}
	last := c.placed[len(c.placed)-1]
	c.placed[t.inContract], last.inContract = last, t.inContract
	c.placed[len(c.placed)-1] = nil
	c.placed = c.placed[:len(c.placed)-1]
}

// quotas holds the accounts of all contracts, teams and members.
type quotas struct {
	contracts map[string]*contract
	teams     map[[2]string]*account
	members   map[string]*account
	// over lists contracts whose limit or that of their member changed; their usage may be above it.
	over map[*contract]bool
}

func newQuotas() *quotas {
	return &quotas{map[string]*contract{}, map[[2]string]*account{}, map[string]*account{}, map[*contract]bool{}}
}

// contract returns the contract of that name. One that was never set is returned as not known.
func (q *quotas) contract(name string) *contract {
	c := q.contracts[name]
	if c == nil {
		c = &contract{name: name, weight: 1, teamAccount: &account{}, memberAccount: &account{}}
		q.contracts[name] = c
	}
	return c
}

func (q *quotas) set(r *pb.ResolvedContract) {
	w := r.GetWritten()
	c := q.contract(w.GetName())
	q.detach(c)
	c.member, c.team = w.GetMember(), w.GetTeam()
	c.weight = max(1, float64(w.GetTerms().GetWeight()))
	c.urgent = w.GetTerms().GetUrgent()
	l := r.GetResolved()
	limit := vector{Cores: l.GetMillicores(), Memory: l.GetMemoryBytes(), Accelerators: l.GetAccelerators()}
	c.account.limit, c.account.limited = limit, true
	c.tasks = l.GetTasks()
	c.known, c.withdrawn = true, false
	q.attach(c)
	q.limitsChanged(c)
}

func (q *quotas) remove(name string) {
	c := q.contracts[name]
	if c == nil {
		return
	}
	q.detach(c)
	c.known, c.withdrawn = false, true
	c.account.limit = vector{}
	q.attach(c)
	q.limitsChanged(c)
}

// limitsChanged notes that the usage of c, or of contracts of the same member, may now be above a limit.
func (q *quotas) limitsChanged(c *contract) {
	for _, o := range q.contracts {
		if o.member == c.member && len(o.placed) > 0 {
			q.over[o] = true
		}
	}
}

// changed returns the contracts that may be above a limit, by name.
func (q *quotas) changed() []*contract {
	return slices.SortedFunc(maps.Keys(q.over), func(a, b *contract) int { return strings.Compare(a.name, b.name) })
}

// detach takes the usage and limit of c out of its team and member.
func (q *quotas) detach(c *contract) {
	c.teamAccount.subtract(&c.account)
	c.memberAccount.subtract(&c.account)
	if !c.known {
		return
	}
	if c.team != "" {
		c.teamAccount.limit = c.teamAccount.limit.Minus(c.account.limit)
	} else {
		c.memberAccount.limit = c.memberAccount.limit.Minus(c.account.limit)
		c.memberAccount.limited = c.memberAccount.limit != vector{}
	}
}

// attach adds the usage and limit of c to its team and member. A contract without a team limits the whole member.
func (q *quotas) attach(c *contract) {
	team := [2]string{c.member, c.team}
	if q.teams[team] == nil {
		q.teams[team] = &account{limited: c.team != ""}
	}
	if q.members[c.member] == nil {
		q.members[c.member] = &account{}
	}
	c.teamAccount, c.memberAccount = q.teams[team], q.members[c.member]
	c.teamAccount.add(&c.account)
	c.memberAccount.add(&c.account)
	if !c.known {
		return
	}
	if c.team != "" {
		c.teamAccount.limit = c.teamAccount.limit.Plus(c.account.limit)
	} else {
		c.memberAccount.limit = c.memberAccount.limit.Plus(c.account.limit)
		c.memberAccount.limited = true
	}
}
