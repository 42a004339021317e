package server

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"

	"github.com/lentilyard/lentilyard/internal/gateway"
	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/peer"
)

const (
	forwardMethod = "gateway.forward"
	// maxHeadBytes limits the head of a forwarded request or response. net/http limits the headers of callers to 1 MiB.
	maxHeadBytes = 4 << 20
	// streamCancelled is the error code for streams that the reader or writer cancels.
	streamCancelled = 1
)

// streamForwarder forwards requests to other entry VMs over streams of the transport. Each direction of a stream carries a
// length-prefixed head and the body. A message is complete only if its stream ends without a reset.
type streamForwarder struct {
	transport *peer.Transport
}

// Forward implements gateway.Forwarder.
func (f streamForwarder) Forward(ctx context.Context, vm string, head *pb.ForwardHead, body io.Reader) (*pb.AnswerHead, io.ReadCloser, error) {
	stream, err := f.transport.OpenStream(ctx, vm, forwardMethod)
	if err != nil {
		return nil, nil, wrapOpenError(err)
	}
	if err := writeHead(stream, head); err != nil {
		stream.Cancel(streamCancelled)
		return nil, nil, fmt.Errorf("%w: %w", gateway.ErrNoAnswer, err)
	}
	go sendBody(stream, body)
	reader := bufio.NewReader(stream)
	answer := new(pb.AnswerHead)
	if err := readHead(reader, answer); err != nil {
		stream.Cancel(streamCancelled)
		return nil, nil, wrapAnswerError(err)
	}
	return answer, &answerBody{reader: reader, stream: stream}, nil
}

// wrapOpenError converts the error of opening a stream to an error of package gateway.
func wrapOpenError(err error) error {
	if errors.Is(err, peer.ErrNotSent) {
		return fmt.Errorf("%w: %w", gateway.ErrNotSent, err)
	}
	return fmt.Errorf("%w: %w", gateway.ErrNoAnswer, err)
}

// wrapAnswerError converts the error of reading an answer to an error of package gateway. If the other VM refused the
// stream, its handler never ran and the request counts as not sent.
func wrapAnswerError(err error) error {
	var reset *peer.ResetError
	if errors.As(err, &reset) && reset.Remote && reset.Code == peer.CodeRefused {
		return fmt.Errorf("%w: %w", gateway.ErrNotSent, err)
	}
	return fmt.Errorf("%w: %w", gateway.ErrNoAnswer, err)
}

// sendBody copies the caller's body to the stream. If reading the body fails, sendBody resets the stream, so that the
// receiver does not take the truncated body for complete. If writing fails because the receiver stopped reading, sendBody
// leaves the stream open, because its answer or reset tells the reason.
func sendBody(stream peer.Stream, body io.Reader) {
	if body != nil {
		source := &errorRecordingReader{reader: body}
		_, err := io.Copy(stream, source)
		if source.err != nil {
			stream.Cancel(streamCancelled)
		}
		if err != nil {
			return
		}
	}
	_ = stream.CloseWrite()
}

// errorRecordingReader records a read error, so that it can be distinguished from a write error after io.Copy.
type errorRecordingReader struct {
	reader io.Reader
	err    error
}

func (s *errorRecordingReader) Read(p []byte) (int, error) {
	n, err := s.reader.Read(p)
	if err != nil && err != io.EOF {
		s.err = err
	}
	return n, err
}

// answerBody reads the body of an answer. Close releases the stream.
type answerBody struct {
	reader *bufio.Reader
	stream peer.Stream
}

func (b *answerBody) Read(p []byte) (int, error) { return b.reader.Read(p) }

func (b *answerBody) Close() error {
	b.stream.Cancel(streamCancelled)
	return nil
}

// registerForwardHandler registers the handler of requests that other entry VMs forward to this one.
func (s *Server) registerForwardHandler() {
	s.transport.HandleStream(forwardMethod, func(ctx context.Context, from string, stream peer.Stream) {
		if err := s.serveForward(ctx, from, stream); err != nil {
			s.log.Debug().Str("event", "forward-cut").Str("from", from).Err(err).Send()
			stream.Cancel(streamCancelled)
			return
		}
		_ = stream.CloseWrite()
	})
}

func (s *Server) serveForward(ctx context.Context, from string, stream peer.Stream) error {
	reader := bufio.NewReader(stream)
	head := new(pb.ForwardHead)
	if err := readHead(reader, head); err != nil {
		return err
	}
	return s.gateway.ServeForwarded(ctx, from, head, reader, func(answer *pb.AnswerHead) (io.Writer, error) {
		return stream, writeHead(stream, answer)
	})
}

func writeHead(w io.Writer, head proto.Message) error {
	encoded, err := proto.Marshal(head)
	if err != nil {
		return fmt.Errorf("encode head: %w", err)
	}
	framed := binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(encoded)), uint32(len(encoded)))
	if _, err := w.Write(append(framed, encoded...)); err != nil {
		return fmt.Errorf("write head: %w", err)
	}
	return nil
}

func readHead(r io.Reader, head proto.Message) error {
	var prefix [4]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return fmt.Errorf("read head length: %w", err)
	}
	length := binary.BigEndian.Uint32(prefix[:])
	if length > maxHeadBytes {
		return fmt.Errorf("head length of %d bytes exceeds the limit of %d", length, maxHeadBytes)
	}
	encoded := make([]byte, length)
	if _, err := io.ReadFull(r, encoded); err != nil {
		return fmt.Errorf("read head: %w", err)
	}
	if err := proto.Unmarshal(encoded, head); err != nil {
		return fmt.Errorf("decode head: %w", err)
	}
	return nil
}
