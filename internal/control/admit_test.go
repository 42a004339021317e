package control

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against memory that is reserved twice or never given back, and against a refusal of a submission that is being committed.
func TestReservedMemory(t *testing.T) {
	is := is.New(t)
	a := admission{limit: 1000}
	release, ok := a.reserve("a", 200, 0)
	is.True(ok)
	_, ok = a.reserve("b", 201, 0)
	is.True(!ok) // it does not leave room for three more
	again, ok := a.reserve("a", 200, 1000)
	is.True(ok)
	again()
	is.Equal(a.reserved, int64(200))
	_, ok = a.reserve("c", 10, 700)
	is.True(ok) // a small one still fits
	release()
	is.Equal(a.reserved, int64(10))
	is.Equal(len(a.weights), 1)
}
