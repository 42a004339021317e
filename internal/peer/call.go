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

// Values of the status byte that starts the answer to a call.
const (
	statusOK    byte = 0 // one frame with the answer follows
	statusError byte = 1 // the HTTP status and one frame with a pb.Error follow
)

// ErrUnknownMethod is the answer to a call of a method that has no handler on the called VM.
var ErrUnknownMethod = &errs.Error{Code: "peer-method-unknown", Status: http.StatusNotImplemented, Outcome: errs.OutcomeNotRun,
	Message: "the entry VM does not know the method", Remedy: "run the same version on all entry VMs"}

// Call calls a method of another VM, or of this one, and decodes the answer into resp. The time left until the deadline
// of ctx is sent with the request and limits the handler.
//
// It returns the *errs.Error of the handler, ErrNotSent if the request was not sent (for example because there is no
// connection), or ErrNoAnswer if the handler may have run.
func (t *Transport) Call(ctx context.Context, to, method string, req, resp proto.Message) error {
	payload, err := proto.Marshal(req)
	if err != nil {
		return fmt.Errorf("%w: encode the request of %s: %w", ErrNotSent, method, err)
	}
	if len(payload) > MaxMessageBytes || len(method) > maxNameBytes {
		return fmt.Errorf("%w: request of %s: %d bytes exceed the limit of %d, or the method name exceeds %d bytes", ErrNotSent, method, len(payload), MaxMessageBytes, maxNameBytes)
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
		return fmt.Errorf("%w: decode the answer of %s: %w", ErrNoAnswer, method, err)
	}
	return nil
}

// callSelf runs the handler of this VM in a goroutine, so that the call returns when ctx ends even if the handler does
// not.
func (t *Transport) callSelf(ctx context.Context, method string, payload []byte) ([]byte, error) {
	type result struct {
		answer []byte
		err    error
	}
	done := make(chan result, 1)
	go func() {
		answer, err := t.runHandler(ctx, t.config.ID, method, payload)
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
		return nil, noAnswerError(ctx, err)
	}
	if err := stream.Close(); err != nil {
		return nil, noAnswerError(ctx, err)
	}
	defer stream.CancelRead(CodeCancelled)
	return readAnswer(ctx, bufio.NewReader(stream))
}

// openStream opens a stream on the current connection to a VM. It blocks while maxStreams streams are open there.
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

// millisecondsLeft returns the time until the deadline of ctx, at least 1, or 0 if ctx has no deadline.
func millisecondsLeft(ctx context.Context) uint64 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return uint64(max(time.Until(deadline).Milliseconds(), 1))
}

// noAnswerError wraps the failure of a sent call in ErrNoAnswer. If ctx ended, its error takes the place of err.
func noAnswerError(ctx context.Context, err error) error {
	var reset *quic.StreamError
	switch {
	case ctx.Err() != nil:
		return fmt.Errorf("%w: %w", ErrNoAnswer, ctx.Err())
	case errors.As(err, &reset) && reset.Remote && reset.ErrorCode == CodeCancelled:
		// The time limit ended on the called VM first.
		return fmt.Errorf("%w: %w", ErrNoAnswer, context.DeadlineExceeded)
	}
	return fmt.Errorf("%w: %w", ErrNoAnswer, err)
}

func readAnswer(ctx context.Context, r *bufio.Reader) ([]byte, error) {
	status, err := r.ReadByte()
	if err != nil {
		return nil, noAnswerError(ctx, asUnexpectedEOF(err))
	}
	if status == statusOK {
		answer, err := readFrame(r)
		if err != nil {
			return nil, noAnswerError(ctx, asUnexpectedEOF(err))
		}
		return answer, nil
	}
	handlerErr, err := readErrorAnswer(r)
	if err != nil {
		return nil, noAnswerError(ctx, asUnexpectedEOF(err))
	}
	return nil, handlerErr
}

func readErrorAnswer(r *bufio.Reader) (*errs.Error, error) {
	status, err := binary.ReadUvarint(r)
	if err != nil {
		return nil, err
	}
	frame, err := readFrame(r)
	if err != nil {
		return nil, err
	}
	wireErr := &pb.Error{}
	if err := proto.Unmarshal(frame, wireErr); err != nil {
		return nil, fmt.Errorf("%w: %w", errMalformedFrame, err)
	}
	return errs.FromProto(int(status), wireErr), nil
}

// runHandler runs the handler of a method and encodes its answer.
func (t *Transport) runHandler(ctx context.Context, from, method string, payload []byte) ([]byte, error) {
	if t.draining.Load() {
		return nil, errs.ErrDraining
	}
	handler, ok := lookupHandler[CallHandler](&t.callHandlers, method)
	if !ok {
		return nil, ErrUnknownMethod.With("entry VM %q does not know the method %q", t.config.ID, method)
	}
	message, err := handler(ctx, from, payload)
	if err != nil {
		return nil, err
	}
	encoded, err := proto.Marshal(message)
	if err == nil && len(encoded) > MaxMessageBytes {
		err = fmt.Errorf("the answer of %s has %d bytes, more than %d", method, len(encoded), MaxMessageBytes)
	}
	return encoded, err
}

// serveCall answers a call received on stream.
func (t *Transport) serveCall(ctx context.Context, from, method string, r *bufio.Reader, stream *quic.Stream) {
	if !t.answerCall(ctx, from, method, r, stream) {
		return
	}
	_ = stream.SetReadDeadline(time.Now().Add(t.config.IdleTimeout))
	_, _ = r.Peek(1) // after the end of the stream is read, CancelRead sends no STOP_SENDING frame
	stream.CancelRead(CodeRefused)
}

// answerCall reads a call, runs its handler and writes the answer. If the call is malformed, it resets the stream and returns
// false. If the handler fails with an error other than an *errs.Error after the time limit has ended, it does so with
// CodeCancelled.
func (t *Transport) answerCall(ctx context.Context, from, method string, r *bufio.Reader, stream *quic.Stream) bool {
	t.callsServed.Add(1)
	defer t.callsServed.Add(-1)
	timeLimitMs, err := binary.ReadUvarint(r)
	var payload []byte
	if err == nil {
		payload, err = readFrame(r)
	}
	if err != nil {
		t.logMalformed(from, err)
		reset(stream, CodeRefused)
		return false
	}
	if timeLimitMs > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(min(timeLimitMs, maxTimeLimitMilliseconds))*time.Millisecond)
		defer cancel()
	}
	answer, err := t.runHandler(ctx, from, method, payload)
	var typed *errs.Error
	if err != nil && !errors.As(err, &typed) && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		reset(stream, CodeCancelled)
		return false
	}
	_, _ = stream.Write(encodeAnswer(answer, err)) // if the write fails, the caller gets ErrNoAnswer
	_ = stream.Close()
	t.lastAnswerAt.Store(time.Now().UnixNano())
	return true
}

// maxTimeLimitMilliseconds caps the time limit of a call, so that a malformed one does not overflow time.Duration.
const maxTimeLimitMilliseconds = uint64(24 * time.Hour / time.Millisecond)

// encodeAnswer encodes the result of a handler: a status byte, then what is documented at that status.
func encodeAnswer(answer []byte, err error) []byte {
	if err == nil {
		return appendFrame(append(make([]byte, 0, len(answer)+binary.MaxVarintLen64+1), statusOK), answer)
	}
	typed := errs.From(err)
	encoded, marshalErr := proto.Marshal(typed.Proto())
	if marshalErr != nil { // the message is not valid UTF-8, so it is left out
		encoded, _ = proto.Marshal(&pb.Error{Code: typed.Code, Outcome: string(typed.Outcome), Remedy: typed.Remedy})
	}
	return appendFrame(binary.AppendUvarint([]byte{statusError}, uint64(typed.Status)), encoded)
}
