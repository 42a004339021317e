package peer

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/quic-go/quic-go"
	"google.golang.org/protobuf/proto"

	"github.com/lentilyard/lentilyard/internal/errs"
	"github.com/lentilyard/lentilyard/internal/pb"
)

// Status bytes of an answer.
const (
	statusOK    byte = 0
	statusError byte = 1 // HTTP status and a pb.Error follow
)

// ErrMethod is the answer to a call of a method that the other side does not handle.
var ErrMethod = &errs.Error{Code: "peer-method-unknown", Status: http.StatusNotImplemented, Outcome: errs.OutcomeNotRun,
	Message: "the entry VM does not know the method", Remedy: "run the same version on all entry VMs"}

// Call sends a request and waits for its answer. The time left in ctx is passed on to the handler.
// Errors: the *errs.Error of the handler; ErrNotSent, also if there is no connection; ErrNoAnswer.
func (t *Transport) Call(ctx context.Context, to, method string, req, resp proto.Message) error {
	payload, err := proto.Marshal(req)
	if err != nil {
		return fmt.Errorf("%w: encode request of %s: %w", ErrNotSent, method, err)
	}
	if len(payload) > MaxMessageBytes || len(method) > maxNameBytes {
		return fmt.Errorf("%w: request of %s has %d bytes, more than %d, or its name more than %d", ErrNotSent, method, len(payload), MaxMessageBytes, maxNameBytes)
	}
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	var answer []byte
	if to == t.config.ID {
		answer, err = t.callSelf(ctx, method, payload)
	} else {
		answer, err = t.callPeer(ctx, to, method, payload)
	}
	if err != nil {
		return err
	}
	if err := proto.Unmarshal(answer, resp); err != nil {
		return fmt.Errorf("%w: answer of %s: %w", ErrNoAnswer, method, err)
	}
	return nil
}

// callSelf runs the handler in its own goroutine, so that the deadline of the caller holds.
func (t *Transport) callSelf(ctx context.Context, method string, payload []byte) ([]byte, error) {
	type result struct {
		answer []byte
		err    error
	}
	done := make(chan result, 1)
	go func() {
		answer, err := t.answer(ctx, t.config.ID, method, payload)
		done <- result{answer, err}
	}()
	select {
	case r := <-done:
		if r.err != nil {
			return nil, errs.From(r.err)
		}
		return r.answer, nil
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: %w", ErrNoAnswer, ctx.Err())
	}
}

func (t *Transport) callPeer(ctx context.Context, to, method string, payload []byte) ([]byte, error) {
	stream, err := t.openStream(ctx, to)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { reset(stream, CodeCancelled) })
	defer stop()
	request := appendPreamble(make([]byte, 0, len(payload)+2*maxNameBytes), kindCall, method)
	request = binary.AppendUvarint(request, millisecondsLeft(ctx))
	request = appendFrame(request, payload)
	if _, err := stream.Write(request); err != nil {
		return nil, noAnswer(ctx, err)
	}
	if err := stream.Close(); err != nil {
		return nil, noAnswer(ctx, err)
	}
	defer stream.CancelRead(CodeCancelled)
	return readAnswer(ctx, bufio.NewReader(stream))
}

// openStream waits while maxStreams are open.
func (t *Transport) openStream(ctx context.Context, to string) (*quic.Stream, error) {
	l := t.link(to)
	if l == nil {
		return nil, fmt.Errorf("%w: %q is not an entry VM in the settings", ErrNotSent, to)
	}
	conn := l.conn.Load()
	if conn == nil {
		return nil, fmt.Errorf("%w: no connection to entry VM %q", ErrNotSent, to)
	}
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, fmt.Errorf("%w: open a stream to entry VM %q: %w", ErrNotSent, to, err)
	}
	return stream, nil
}

// millisecondsLeft returns 0 if the context has no deadline.
func millisecondsLeft(ctx context.Context) uint64 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return uint64(max(time.Until(deadline).Milliseconds(), 1))
}

func noAnswer(ctx context.Context, err error) error {
	var reset *quic.StreamError
	switch {
	case ctx.Err() != nil:
		return fmt.Errorf("%w: %w", ErrNoAnswer, ctx.Err())
	case errors.As(err, &reset) && reset.Remote && reset.ErrorCode == CodeCancelled: // the handler's clock was ahead
		return fmt.Errorf("%w: %w", ErrNoAnswer, context.DeadlineExceeded)
	}
	return fmt.Errorf("%w: %w", ErrNoAnswer, err)
}

func readAnswer(ctx context.Context, r *bufio.Reader) ([]byte, error) {
	status, err := r.ReadByte()
	if err != nil {
		return nil, noAnswer(ctx, noEOF(err))
	}
	if status == statusOK {
		answer, err := readFrame(r)
		if err != nil {
			return nil, noAnswer(ctx, noEOF(err))
		}
		return answer, nil
	}
	refusal, err := readRefusal(r)
	if err != nil {
		return nil, noAnswer(ctx, noEOF(err))
	}
	return nil, refusal
}

func readRefusal(r *bufio.Reader) (*errs.Error, error) {
	status, err := binary.ReadUvarint(r)
	if err != nil {
		return nil, err
	}
	frame, err := readFrame(r)
	if err != nil {
		return nil, err
	}
	refusal := &pb.Error{}
	if err := proto.Unmarshal(frame, refusal); err != nil {
		return nil, fmt.Errorf("%w: %w", errFrame, err)
	}
	return errs.FromProto(int(status), refusal), nil
}

// answer runs the handler of a method.
func (t *Transport) answer(ctx context.Context, from, method string, payload []byte) ([]byte, error) {
	if t.draining.Load() {
		return nil, errs.ErrDraining
	}
	f, ok := handlerOf[CallHandler](&t.callHandlers, method)
	if !ok {
		return nil, ErrMethod.With("entry VM %q does not know the method %q", t.config.ID, method)
	}
	message, err := f(ctx, from, payload)
	if err != nil {
		return nil, err
	}
	encoded, err := proto.Marshal(message)
	if err == nil && len(encoded) > MaxMessageBytes {
		err = fmt.Errorf("the answer of %s has %d bytes, more than %d", method, len(encoded), MaxMessageBytes)
	}
	return encoded, err
}

func (t *Transport) serveCall(ctx context.Context, from, method string, r *bufio.Reader, stream *quic.Stream) {
	limit, err := binary.ReadUvarint(r)
	var payload []byte
	if err == nil {
		payload, err = readFrame(r)
	}
	if err != nil {
		t.logMalformed(from, err)
		reset(stream, CodeRefused)
		return
	}
	if limit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(min(limit, maxLimitMilliseconds))*time.Millisecond)
		defer cancel()
	}
	answer, err := t.answer(ctx, from, method, payload)
	var typed *errs.Error
	if err != nil && !errors.As(err, &typed) && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		reset(stream, CodeCancelled)
		return
	}
	_, _ = stream.Write(encodeAnswer(answer, err)) // a lost connection is reported to the caller as ErrNoAnswer
	_ = stream.Close()
	t.lastAnswer.Store(time.Now().UnixNano())
	_ = stream.SetReadDeadline(time.Now().Add(t.config.IdleTimeout))
	_, _ = r.Peek(1) // reads the end of the stream, which saves a STOP_SENDING frame
	stream.CancelRead(CodeRefused)
}

// maxLimitMilliseconds keeps the time limit of a malformed call within the range of time.Duration.
const maxLimitMilliseconds = uint64(24 * time.Hour / time.Millisecond)

func encodeAnswer(answer []byte, err error) []byte {
	if err == nil {
		return appendFrame(append(make([]byte, 0, len(answer)+binary.MaxVarintLen64+1), statusOK), answer)
	}
	refusal := errs.From(err)
	encoded, marshalErr := proto.Marshal(refusal.Proto())
	if marshalErr != nil { // a message that is not UTF-8
		encoded, _ = proto.Marshal(&pb.Error{Code: refusal.Code, Outcome: string(refusal.Outcome), Remedy: refusal.Remedy})
	}
	return appendFrame(binary.AppendUvarint([]byte{statusError}, uint64(refusal.Status)), encoded)
}
