package admission

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// exchange sends a load report from each entry VM to every other one that it can reach.
func exchange(all []*Shares, canReach func(from, to int) bool) {
	for i, from := range all {
		report := &pb.LoadReport{Vm: fmt.Sprint(i)}
		from.Fill(report)
		for j, to := range all {
			if i != j && canReach(i, j) {
				to.Observe(report)
			}
		}
	}
}

func allReachable(int, int) bool { return true }

func newShares(n int, now *time.Time) []*Shares {
	var vms []VM
	for i := range n {
		vms = append(vms, VM{ID: fmt.Sprint(i), Domain: fmt.Sprint(i % 3)})
	}
	var all []*Shares
	for i := range n {
		all = append(all, NewShares(fmt.Sprint(i), vms, func() time.Time { return *now }))
	}
	return all
}

func sum(all []*Shares) (total float64) {
	for _, s := range all {
		s.mu.Lock()
		total += s.share("c")
		s.mu.Unlock()
	}
	return total
}

func TestMain(m *testing.M) {
	flag.Parse()
	// A fixed seed makes the result of the test reproducible.
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// Guards against entry VMs that together admit more than the contract's rate, including during a partition.
func TestSharesNeverSumToMoreThanTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		n := rapid.IntRange(1, 7).Draw(t, "vms")
		all := newShares(n, &now)
		cutDomain := rapid.IntRange(-1, 2).Draw(t, "cut")
		for step := range 5 {
			for _, s := range all {
				for range rapid.IntRange(0, 20).Draw(t, "requests") {
					s.Share("c")
				}
			}
			now = now.Add(window)
			canReach := allReachable
			if step >= 2 && cutDomain >= 0 {
				canReach = func(from, to int) bool { return (from%3 == cutDomain) == (to%3 == cutDomain) }
			}
			exchange(all, canReach)
			exchange(all, canReach) // all VMs have started a new window only after the first round
			if total := sum(all); total > 1.0001 {
				t.Fatalf("shares sum to %v in step %d", total, step)
			}
		}
	})
}

// Guards against an entry VM that keeps an equal share although it receives all the traffic.
func TestShareFollowsDemand(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	all := newShares(6, &now)
	for range 100 {
		all[0].Share("c")
	}
	now = now.Add(window)
	exchange(all, allReachable)
	is.True(all[0].Share("c") > 0.8)
	is.True(all[1].Share("c") < 0.04)
}

// Guards against a share that stays unused because its entry VM is lost.
func TestLostVMGivesUpItsShare(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	all := newShares(6, &now)
	now = now.Add(lostAfter + time.Second)
	exchange(all, func(from, _ int) bool { return from != 3 }) // VM 3 is in the same failure domain as VM 0
	is.Equal(all[1].Share("c"), 1.0/5)
}
