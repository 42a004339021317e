package relay

import (
	"fmt"
	"testing"
)

// BenchmarkChoose measures the choice of a route for a worker that control VMs do not reach, at 9 control VMs and 97 intake VMs.
func BenchmarkChoose(b *testing.B) {
	c := Candidates{}
	for i := range 8 {
		c.Control = append(c.Control, Agent{fmt.Sprintf("10.1.0.%d", i), fmt.Sprint("d", i%3)})
	}
	for i := range 97 {
		c.Intake = append(c.Intake, Agent{fmt.Sprintf("10.2.0.%d", i), fmt.Sprint("d", i%3)})
	}
	b.ReportAllocs()
	for b.Loop() {
		c.Choose("i-7f3a91c2", "d1", 1)
	}
}
