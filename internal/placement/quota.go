package placement

import (
	"maps"
	"slices"
	"strings"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// account holds the usage and limit of a contract, team or member. Usage is the sum of declared sizes.
type account struct {
	limit, used vector
	// releasing is the part of used held by tasks that are being evicted.
	releasing vector
	// limited is false if limit does not apply.
	limited bool
}

// allows reports whether size may be added without exceeding the limit.
func (a *account) allows(size vector) bool {
	return !a.limited || a.used.Plus(size).Fits(a.limit)
}

// allowsSoon is allows without the usage of tasks that are being evicted.
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

// contract is the cached state of a contract. Its usage also counts for its team and its member.
type contract struct {
	name, member, team string
	account            account
	// taskLimit limits the number of placed batch tasks; 0 sets no limit.
	taskLimit, batchTasks int64
	placed                []*task
	weight                float64
	urgent                bool // admits urgent tasks
	known, withdrawn      bool // both false if only tasks refer to it so far
	teamAccount           *account
	memberAccount         *account
}

// allows reports whether a task of the given size and class stays within the limits of contract, team and member.
func (c *contract) allows(size vector, class pb.TaskClass) bool {
	if !c.known {
		return false
	}
	if class == pb.TaskClass_TASK_CLASS_BATCH && c.taskLimit > 0 && c.batchTasks >= c.taskLimit {
		return false
	}
	return c.account.allows(size) && c.teamAccount.allows(size) && c.memberAccount.allows(size)
}

// accounts returns the accounts of the contract, its team and its member.
func (c *contract) accounts() [3]*account {
	return [...]*account{&c.account, c.teamAccount, c.memberAccount}
}

// countReleasing adds (sign 1) or subtracts (sign -1) the size of t in the usage that is being released.
func (c *contract) countReleasing(t *task, sign int64) {
	for _, a := range c.accounts() {
		a.releasing = a.releasing.Plus(t.size.Times(sign))
	}
}

// allowsSoon reports whether the size stays within all limits once the evictions in progress have ended. It is
// false for a contract that is not known. The limit on the number of batch tasks is not checked.
func (c *contract) allowsSoon(size vector) bool {
	for _, a := range c.accounts() {
		if !a.allowsSoon(size) {
			return false
		}
	}
	return c.known
}

// addTask counts a placed task.
func (c *contract) addTask(t *task) {
	for _, a := range c.accounts() {
		a.used = a.used.Plus(t.size)
	}
	if t.batch() {
		c.batchTasks++
	}
	t.contractIndex = len(c.placed)
	c.placed = append(c.placed, t)
}

// removeTask undoes addTask.
func (c *contract) removeTask(t *task) {
	for _, a := range c.accounts() {
		a.used = a.used.Minus(t.size)
	}
	if t.batch() {
		c.batchTasks--
	}
	last := c.placed[len(c.placed)-1]
	c.placed[t.contractIndex], last.contractIndex = last, t.contractIndex
	c.placed[len(c.placed)-1] = nil
	c.placed = c.placed[:len(c.placed)-1]
}

// quotas holds the accounts of all contracts, teams and members.
type quotas struct {
	contracts map[string]*contract
	teams     map[[2]string]*account
	members   map[string]*account
	// maybeOver holds the contracts that may be above a limit, since it or that of another contract of the member
	// changed.
	maybeOver map[*contract]bool
}

func newQuotas() *quotas {
	return &quotas{map[string]*contract{}, map[[2]string]*account{}, map[string]*account{}, map[*contract]bool{}}
}

// contract returns the contract of that name. If there is none, it adds one that is not known.
func (q *quotas) contract(name string) *contract {
	c := q.contracts[name]
	if c == nil {
		c = &contract{name: name, weight: 1, teamAccount: &account{}, memberAccount: &account{}}
		q.contracts[name] = c
	}
	return c
}

// set adds or replaces a contract.
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
	c.taskLimit = l.GetTasks()
	c.known, c.withdrawn = true, false
	q.attach(c)
	q.limitsChanged(c)
}

// remove marks a contract as withdrawn. It stays in the cache, since its tasks refer to it.
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

// limitsChanged records that c and the other contracts of its member may now be above a limit.
func (q *quotas) limitsChanged(c *contract) {
	for _, o := range q.contracts {
		if o.member == c.member && len(o.placed) > 0 {
			q.maybeOver[o] = true
		}
	}
}

// maybeOverByName returns the contracts that may be above a limit, sorted by name.
func (q *quotas) maybeOverByName() []*contract {
	return slices.SortedFunc(maps.Keys(q.maybeOver), func(a, b *contract) int { return strings.Compare(a.name, b.name) })
}

// detach subtracts the usage and limit of c from those of its team and member.
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

// attach adds the usage of c to that of its team and member. Its limit is added to that of the team, or of the member
// if it has no team.
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
