package gateway

import (
	"context"
	"fmt"
	"io"
	"sync"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// relayBytes is the size of the pieces in which answers are passed on.
const relayBytes = 32 << 10

var relayBuffers = sync.Pool{New: func() any { return new([relayBytes]byte) }}

// relay passes an answer on. The last piece is held back until commit has recorded the outcome, so
// that no caller has a whole answer whose outcome is unknown.
func relay(ctx context.Context, head *pb.AnswerHead, source io.Reader, out *answerer, commit *commit) error {
	if commit != nil {
		return relayCommitted(ctx, head, source, out, commit)
	}
	w, err := out.start(head)
	if err != nil {
		return err
	}
	buffer := relayBuffers.Get().(*[relayBytes]byte)
	defer relayBuffers.Put(buffer)
	return copyPieces(w, source, buffer[:])
}

func copyPieces(w io.Writer, source io.Reader, buffer []byte) error {
	for {
		n, err := source.Read(buffer)
		if n > 0 {
			if _, err := w.Write(buffer[:n]); err != nil {
				return fmt.Errorf("write answer: %w", err)
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return errCut.With("the answer ended early: %w", err)
		}
	}
}

// relayCommitted keeps answers up to the stored size until the outcome is committed. Larger ones
// stream, but for their last piece.
func relayCommitted(ctx context.Context, head *pb.AnswerHead, source io.Reader, out *answerer, commit *commit) error {
	buffer := relayBuffers.Get().(*[relayBytes]byte)
	defer relayBuffers.Put(buffer)
	n, err := readFull(source, buffer[:])
	if err != nil && err != io.EOF {
		return errCut.With("the answer ended early: %w", err)
	}
	if err == io.EOF && n <= maxStoredBytes {
		return commitThenAnswer(ctx, head, buffer[:n], out, commit)
	}
	return relayLarge(ctx, head, source, buffer[:], n, out, commit)
}

// relayLarge streams an answer that is too large to be kept. held has the first n bytes.
func relayLarge(ctx context.Context, head *pb.AnswerHead, source io.Reader, held []byte, n int, out *answerer, commit *commit) error {
	second := relayBuffers.Get().(*[relayBytes]byte)
	defer relayBuffers.Put(second)
	next := second[:]
	w, startErr := out.start(head)
	if startErr != nil {
		return startErr
	}
	for ended := false; !ended; {
		m, err := readFull(source, next)
		if err != nil && err != io.EOF {
			return errCut.With("the answer ended early: %w", err)
		}
		ended = err == io.EOF
		if m == 0 {
			break
		}
		if _, err := w.Write(held[:n]); err != nil {
			return fmt.Errorf("write answer: %w", err)
		}
		held, next, n = next, held, m
	}
	if err := commit.executed(ctx, head, nil, true); err != nil {
		return err
	}
	return writeAll(w, held[:n])
}

func commitThenAnswer(ctx context.Context, head *pb.AnswerHead, body []byte, out *answerer, commit *commit) error {
	if err := commit.executed(ctx, head, body, false); err != nil {
		return err
	}
	w, err := out.start(head)
	if err != nil {
		return err
	}
	return writeAll(w, body)
}

func writeAll(w io.Writer, p []byte) error {
	if len(p) == 0 {
		return nil
	}
	if _, err := w.Write(p); err != nil {
		return fmt.Errorf("write answer: %w", err)
	}
	return nil
}

// readFull fills p. Unlike io.ReadFull it returns io.EOF together with the last bytes, and only if
// the source ended with it.
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
