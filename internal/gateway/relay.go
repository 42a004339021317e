package gateway

import (
	"context"
	"fmt"
	"io"
	"sync"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// relayBufferBytes is the size of the buffers with which responses are copied.
const relayBufferBytes = 32 << 10

var relayBuffers = sync.Pool{New: func() any { return new([relayBufferBytes]byte) }}

// relay sends a response to the caller. If recorder is not nil, the last chunk is sent only after the
// outcome has been committed, so that no caller gets a complete response whose outcome is unknown.
func relay(ctx context.Context, head *pb.AnswerHead, source io.Reader, out *responder, recorder *outcomeRecorder) error {
	if recorder != nil {
		return relayCommitted(ctx, head, source, out, recorder)
	}
	w, err := out.start(head)
	if err != nil {
		return err
	}
	buffer := relayBuffers.Get().(*[relayBufferBytes]byte)
	defer relayBuffers.Put(buffer)
	return copyChunks(w, source, buffer[:])
}

// copyChunks copies source to w. Each read is written at once.
func copyChunks(w io.Writer, source io.Reader, buffer []byte) error {
	for {
		n, err := source.Read(buffer)
		if err := writeAll(w, buffer[:n]); err != nil {
			return err
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return endedEarly(err)
		}
	}
}

// relayCommitted sends a response and commits its outcome. A body of at most maxStoredBodyBytes is stored
// with the outcome and sent after the commit; a larger one is streamed except for its last chunk.
func relayCommitted(ctx context.Context, head *pb.AnswerHead, source io.Reader, out *responder, recorder *outcomeRecorder) error {
	buffer := relayBuffers.Get().(*[relayBufferBytes]byte)
	defer relayBuffers.Put(buffer)
	n, err := readFull(source, buffer[:])
	if err != nil && err != io.EOF {
		return endedEarly(err)
	}
	if err == io.EOF && n <= maxStoredBodyBytes {
		return commitThenRespond(ctx, head, buffer[:n], out, recorder)
	}
	return relayLarge(ctx, head, source, buffer[:], n, out, recorder)
}

// relayLarge streams a response that is too large to be stored. held contains its first n bytes. It
// always holds back the last chunk read, until the outcome is committed.
func relayLarge(ctx context.Context, head *pb.AnswerHead, source io.Reader, held []byte, n int, out *responder, recorder *outcomeRecorder) error {
	second := relayBuffers.Get().(*[relayBufferBytes]byte)
	defer relayBuffers.Put(second)
	next := second[:]
	w, startErr := out.start(head)
	if startErr != nil {
		return startErr
	}
	for ended := false; !ended; {
		m, err := readFull(source, next)
		if err != nil && err != io.EOF {
			return endedEarly(err)
		}
		ended = err == io.EOF
		if m == 0 {
			break
		}
		if err := writeAll(w, held[:n]); err != nil {
			return err
		}
		held, next, n = next, held, m
	}
	if err := recorder.recordExecuted(ctx, head, nil, true); err != nil {
		return err
	}
	return writeAll(w, held[:n])
}

// commitThenRespond commits the outcome with the response body and then sends the response.
func commitThenRespond(ctx context.Context, head *pb.AnswerHead, body []byte, out *responder, recorder *outcomeRecorder) error {
	if err := recorder.recordExecuted(ctx, head, body, false); err != nil {
		return err
	}
	w, err := out.start(head)
	if err != nil {
		return err
	}
	return writeAll(w, body)
}

// endedEarly returns the error for a response whose source failed with err.
func endedEarly(err error) error { return errTruncated.With("the answer ended early: %w", err) }

// writeAll writes a part of a response to the caller; it writes nothing if the part is empty.
func writeAll(w io.Writer, p []byte) error {
	if len(p) == 0 {
		return nil
	}
	if _, err := w.Write(p); err != nil {
		return fmt.Errorf("write response: %w", err)
	}
	return nil
}

// readFull reads until p is full or source returns an error. Unlike io.ReadFull it returns that error
// unchanged, together with the number of bytes read.
func readFull(source io.Reader, p []byte) (int, error) {
	n := 0
	for n < len(p) {
		m, err := source.Read(p[n:])
		n += m
		if err != nil {
			return n, err
		}
	}
	return n, nil
}
