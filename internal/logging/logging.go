// Package logging writes log events as lines of key=value pairs.
//
// Loggers encode events with zerolog and put them into a queue that is bounded in lines and bytes. One goroutine formats and writes them, so that a
// slow output never blocks request handling. While the queue is more than half full, lines at debug level and decision
// lines are dropped; while it is full, all lines are. Dropped lines are counted.
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
	maxQueuedBytes    = 4 << 20
	// maxWriteBytes is the size at which lines are no longer added to a write.
	maxWriteBytes = 32 << 10
)

var droppedLines = metrics.NewCounter("lentilyard_log_lines_dropped_total")

// Sink is a zerolog.LevelWriter that queues lines and writes them to an io.Writer in the background.
type Sink struct {
	queue     chan *[]byte
	queued    atomic.Int64 // bytes in the queue
	out       io.Writer
	dropped   atomic.Uint64
	buffers   sync.Pool // of *[]byte, for queued lines
	closeOnce sync.Once
	mu        sync.RWMutex // Close holds it for writing, so that no line is sent on a closed queue
	closed    bool
	done      chan struct{}
	// omitDecisions must be set before the first line is logged.
	omitDecisions bool
}

// NewSink returns a sink that writes to out and queues up to queueLines lines and 4 MiB. If queueLines <= 0, the limit is 8192.
func NewSink(out io.Writer, queueLines int) *Sink {
	if queueLines <= 0 {
		queueLines = defaultQueueLines
	}
	s := &Sink{queue: make(chan *[]byte, queueLines), out: out, done: make(chan struct{})}
	s.buffers.New = func() any { return new([]byte) }
	go s.run()
	return s
}

// OmitDecisions discards the lines for single routing and placement decisions. It must be called before the first line is
// logged.
func (s *Sink) OmitDecisions() { s.omitDecisions = true }

// New returns a logger that writes to s. level is the name of a zerolog level; an empty or unknown name selects info.
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

// WriteLevel implements zerolog.LevelWriter. It does not wait for the output.
func (s *Sink) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	if s.omitDecisions && isDecision(line) {
		return len(line), nil
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	queued := s.queued.Add(int64(len(line)))
	halfFull := len(s.queue) > cap(s.queue)/2 || queued > maxQueuedBytes/2
	if s.closed || queued > maxQueuedBytes || halfFull && (level <= zerolog.DebugLevel || isDecision(line)) {
		s.drop(line)
		return len(line), nil
	}
	buffer := s.buffers.Get().(*[]byte)
	*buffer = append((*buffer)[:0], line...)
	select {
	case s.queue <- buffer:
	default:
		s.buffers.Put(buffer)
		s.drop(line)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (s *Sink) Dropped() uint64 { return s.dropped.Load() }

// Close writes the queued lines and stops the sink. Lines logged afterwards are dropped.
func (s *Sink) Close() error {
	s.closeOnce.Do(func() {
		s.mu.Lock()
		s.closed = true
		s.mu.Unlock()
		close(s.queue)
		<-s.done
	})
	return nil
}

func (s *Sink) drop(line []byte) {
	s.queued.Add(-int64(len(line)))
	s.dropped.Add(1)
	droppedLines.Inc()
}

var decisionKey = []byte(`"decision":`)

// isDecision reports whether line is the log line of a routing or placement decision.
func isDecision(line []byte) bool { return bytes.Contains(line, decisionKey) }

func (s *Sink) run() {
	defer close(s.done)
	var text, line bytes.Buffer
	for first := range s.queue {
		text.Reset()
		s.convert(&text, &line, first)
		s.convertQueued(&text, &line)
		// There is no other place than the log itself to report a failed write.
		_, _ = s.out.Write(text.Bytes())
	}
}

// convertQueued converts the lines that are already queued, up to maxWriteBytes, so that one write covers them all.
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

// convert appends an encoded line to text as key=value pairs and returns its buffer to the pool. line is scratch space.
func (s *Sink) convert(text, line *bytes.Buffer, encoded *[]byte) {
	line.Reset()
	writeKeyValue(line, *encoded)
	text.Write(line.Bytes())
	s.queued.Add(-int64(len(*encoded)))
	s.buffers.Put(encoded)
}
