package placement

import "github.com/lentilyard/lentilyard/internal/pb"

// account compares what is in use with a limit.
type account struct {
	limit, used vector
	// limited is false for an account without a limit of its own.
	limited bool
}

func (a *account) allows(size vector) bool {
	return !a.limited || a.used.plus(size).fits(a.limit)
}

// contract is the quota of one contract. Its usage also counts for its team and its member.
type contract struct {
	name, member, team string
	account            account
	// tasks limits the placed batch tasks; 0 sets no limit.
	tasks, tasksUsed int64
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

func (c *contract) take(size vector, class pb.TaskClass) {
	for _, a := range [...]*account{&c.account, c.teamAccount, c.memberAccount} {
		a.used = a.used.plus(size)
	}
	if class == pb.TaskClass_TASK_CLASS_BATCH {
		c.tasksUsed++
	}
}

func (c *contract) release(size vector, class pb.TaskClass) {
	for _, a := range [...]*account{&c.account, c.teamAccount, c.memberAccount} {
		a.used = a.used.minus(size)
	}
	if class == pb.TaskClass_TASK_CLASS_BATCH {
		c.tasksUsed--
	}
}

// quotas holds the accounts of all contracts, teams and members.
type quotas struct {
	contracts map[string]*contract
	teams     map[[2]string]*account
	members   map[string]*account
}

func newQuotas() *quotas {
	return &quotas{map[string]*contract{}, map[[2]string]*account{}, map[string]*account{}}
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

func (q *quotas) set(r *pb.ResolvedContract, parts, total uint32) {
	w := r.GetWritten()
	c := q.contract(w.GetName())
	q.detach(c)
	c.member, c.team = w.GetMember(), w.GetTeam()
	c.weight = max(1, float64(w.GetTerms().GetWeight()))
	c.urgent = w.GetTerms().GetUrgent()
	l := r.GetResolved()
	limit := vector{l.GetMillicores(), l.GetMemoryBytes(), l.GetAccelerators()}
	c.account.limit, c.account.limited = limit.scaled(parts, total), true
	c.tasks = l.GetTasks()
	if total > 0 && c.tasks > 0 {
		c.tasks = max(1, scale(c.tasks, parts, total))
	}
	c.known, c.withdrawn = true, false
	q.attach(c)
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
}

// detach takes the usage and limit of c out of its team and member.
func (q *quotas) detach(c *contract) {
	c.teamAccount.used = c.teamAccount.used.minus(c.account.used)
	c.memberAccount.used = c.memberAccount.used.minus(c.account.used)
	if !c.known {
		return
	}
	if c.team != "" {
		c.teamAccount.limit = c.teamAccount.limit.minus(c.account.limit)
	} else {
		c.memberAccount.limit = c.memberAccount.limit.minus(c.account.limit)
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
	c.teamAccount.used = c.teamAccount.used.plus(c.account.used)
	c.memberAccount.used = c.memberAccount.used.plus(c.account.used)
	if !c.known {
		return
	}
	if c.team != "" {
		c.teamAccount.limit = c.teamAccount.limit.plus(c.account.limit)
	} else {
		c.memberAccount.limit = c.memberAccount.limit.plus(c.account.limit)
		c.memberAccount.limited = true
	}
}
