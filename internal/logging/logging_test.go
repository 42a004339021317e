package logging

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against an event that is not written as one line of key=value pairs.
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

// blockedWriter signals the start of its first write and blocks writes until release is closed.
type blockedWriter struct{ started, release chan struct{} }

func (b blockedWriter) Write(p []byte) (int, error) {
	select {
	case b.started <- struct{}{}:
	default:
	}
	<-b.release
	return len(p), nil
}

// Guards against a logger that blocks while the output is blocked, and against dropped lines that are not counted.
func TestBlockedOutputDropsAndCounts(t *testing.T) {
	is := is.New(t)
	writer := blockedWriter{started: make(chan struct{}, 1), release: make(chan struct{})}
	sink := NewSink(writer, 4)
	logger := New(sink, "info")
	logger.Info().Msg("first")
	<-writer.started
	for range 100 {
		logger.Info().Msg("event")
	}
	is.Equal(sink.Dropped(), uint64(96)) // 4 lines wait in the queue
	close(writer.release)
	is.NoErr(sink.Close())
}

// Guards against memory that long lines take while the output is blocked.
func TestQueueOfLongLinesIsBounded(t *testing.T) {
	is := is.New(t)
	writer := blockedWriter{started: make(chan struct{}, 1), release: make(chan struct{})}
	sink := NewSink(writer, 0)
	logger := New(sink, "info")
	logger.Info().Msg("first")
	<-writer.started
	const lines, lineBytes = 1000, 16 << 10
	text := strings.Repeat("x", lineBytes)
	for range lines {
		logger.Info().Msg(text)
	}
	queued := lines - int(sink.Dropped())
	is.True(queued > 0)
	is.True(queued*lineBytes <= 4<<20)
	close(writer.release)
	is.NoErr(sink.Close())
	is.Equal(sink.Dropped(), uint64(lines-queued)) // what was queued is written
}
