// Package logging writes one key=value line for each event.
//
// Callers encode events with zerolog into a bounded queue. One goroutine
// formats and writes them, so that a slow sink never stalls traffic. When the
// queue is more than half full, lines at debug level and decision lines are
// dropped; when it is full, every line is. Drops are counted.
package logging

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
)

const (
	defaultQueueLines = 8192
	// maxWriteBytes bounds the lines that are collected for one write.
	maxWriteBytes = 32 << 10
)

var droppedLines = metrics.NewCounter("lentilyard_log_lines_dropped_total")

// Sink is a zerolog writer with a bounded queue.
type Sink struct {
	queue   chan *[]byte
	out     io.Writer
	dropped atomic.Uint64
	lines   sync.Pool // of *[]byte
	closing sync.Once
	mu      sync.RWMutex // excludes Close during a write
	closed  bool
	done    chan struct{}
	// omitDecisions is set before the first line.
	omitDecisions bool
}

// NewSink starts the goroutine that writes to out. queueLines <= 0 selects the default of 8192.
func NewSink(out io.Writer, queueLines int) *Sink {
	if queueLines <= 0 {
		queueLines = defaultQueueLines
	}
	s := &Sink{queue: make(chan *[]byte, queueLines), out: out, done: make(chan struct{})}
	s.lines.New = func() any { return new([]byte) }
	go s.run()
	return s
}

// OmitDecisions leaves out the lines for each routing and placement decision. Call it before the first line.
func (s *Sink) OmitDecisions() { s.omitDecisions = true }

// New returns a logger on the sink. Level is a zerolog level name; an unknown one selects info.
func New(s *Sink, level string) zerolog.Logger {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil || level == "" {
		parsed = zerolog.InfoLevel
	}
	return zerolog.New(s).Level(parsed).With().Timestamp().Logger()
}

// Write implements io.Writer.
func (s *Sink) Write(line []byte) (int, error) {
	return s.WriteLevel(zerolog.InfoLevel, line)
}

// WriteLevel implements zerolog.LevelWriter. It never blocks.
func (s *Sink) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	if s.omitDecisions && isDecision(line) {
		return len(line), nil
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.closed || (level <= zerolog.DebugLevel || isDecision(line)) && len(s.queue) > cap(s.queue)/2 {
		s.drop()
		return len(line), nil
	}
	copied := s.lines.Get().(*[]byte)
	*copied = append((*copied)[:0], line...)
	select {
	case s.queue <- copied:
	default:
		s.lines.Put(copied)
		s.drop()
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (s *Sink) Dropped() uint64 { return s.dropped.Load() }

// Close writes the queued lines and stops the goroutine.
func (s *Sink) Close() error {
	s.closing.Do(func() {
		s.mu.Lock()
		s.closed = true
		s.mu.Unlock()
		close(s.queue)
		<-s.done
	})
	return nil
}

func (s *Sink) drop() {
	s.dropped.Add(1)
	droppedLines.Inc()
}

var decisionMark = []byte(`"decision":`)

func isDecision(line []byte) bool { return bytes.Contains(line, decisionMark) }

func (s *Sink) run() {
	defer close(s.done)
	var text, line bytes.Buffer
	for first := range s.queue {
		text.Reset()
		s.convert(&text, &line, first)
		s.convertQueued(&text, &line)
		// A failed write is not reported: the log is the place where it would be.
		_, _ = s.out.Write(text.Bytes())
	}
}

// convertQueued converts lines that wait already, so that one write takes them all.
func (s *Sink) convertQueued(text, line *bytes.Buffer) {
	for text.Len() < maxWriteBytes {
		select {
		case next, open := <-s.queue:
			if !open {
				return
			}
			s.convert(text, line, next)
		default:
			return
		}
	}
}

func (s *Sink) convert(text, line *bytes.Buffer, encoded *[]byte) {
	line.Reset()
	writeKeyValue(line, *encoded)
	text.Write(line.Bytes())
	s.lines.Put(encoded)
}
