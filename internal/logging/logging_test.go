package logging

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against log lines that are not one line of key=value pairs.
func TestLinesAreKeyValuePairs(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	sink := NewSink(&out, 0)
	logger := New(sink, "info")
	logger.Info().Str("target", "executor 1").Int("slots", 8).Bool("ok", true).Msg("routed")
	is.NoErr(sink.Close())
	line := out.String()
	is.Equal(strings.Count(line, "\n"), 1)
	is.True(strings.Contains(line, `target="executor 1" slots=8 ok=true`))
	is.True(strings.HasSuffix(line, "message=routed\n"))
}

// blockedWriter tells when its first write begins and blocks until it is released.
type blockedWriter struct{ began, release chan struct{} }

func (b blockedWriter) Write(p []byte) (int, error) {
	select {
	case b.began <- struct{}{}:
	default:
	}
	<-b.release
	return len(p), nil
}

// Guards against a slow sink stalling traffic, and against uncounted drops.
func TestSlowSinkDropsAndCounts(t *testing.T) {
	is := is.New(t)
	writer := blockedWriter{began: make(chan struct{}, 1), release: make(chan struct{})}
	sink := NewSink(writer, 4)
	logger := New(sink, "info")
	logger.Info().Msg("first")
	<-writer.began
	for range 100 {
		logger.Info().Msg("event")
	}
	is.Equal(sink.Dropped(), uint64(96)) // 4 lines wait in the queue
	close(writer.release)
	is.NoErr(sink.Close())
}
