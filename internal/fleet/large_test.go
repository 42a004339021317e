package fleet

import (
	"context"
	"testing"

	"github.com/matryer/is"
)

// Guards against large requests that together exceed the bound, that never pass, or that keep small ones waiting.
func TestLargeCallsWaitForEachOther(t *testing.T) {
	is := is.New(t)
	l, ended := NewLargeCalls(), func() context.Context { ctx, cancel := context.WithCancel(t.Context()); cancel(); return ctx }()
	end, err := l.Begin(t.Context(), 2*maxLargeCallBytes)
	is.NoErr(err)
	_, err = l.Begin(ended, smallCallBytes+1)
	is.Equal(err, context.Canceled)
	_, err = l.Begin(ended, smallCallBytes)
	is.NoErr(err)
	end()
	for range 2 {
		_, err = l.Begin(t.Context(), maxLargeCallBytes/2)
		is.NoErr(err)
	}
	_, err = l.Begin(ended, smallCallBytes+1)
	is.Equal(err, context.Canceled)
}
