package machine

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against limits that together exceed the machine.
func TestLimitsFitTheMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New(rapid.Uint32Range(LeastMemoryMB, 1_000_000).Draw(t, "MB"), rapid.Uint32Range(3*fileDescriptors, 1_000_000).Draw(t, "descriptors"))
		if programBytes+int64(collectorShare*l.free()) > l.MemoryBytes || StatelessShare >= collectorShare || StatefulShare+StateShare >= collectorShare {
			t.Fatalf("%+v: more memory than the machine has", l)
		}
		if n := l.Connections(); n < 1 || float64(n)+fileDescriptors+workerShare*float64(l.Descriptors) > float64(l.Descriptors) {
			t.Fatalf("%+v: %d connections", l, n)
		}
	})
}

// Guards against a machine whose limits the settings do not state and that has none then.
func TestLimitsThatAreNotStated(t *testing.T) {
	is := is.New(t)
	l := New(0, 0)
	is.True(l.MemoryBytes > LeastMemoryMB*megabyte)
	is.True(l.Connections() > 0)
}
