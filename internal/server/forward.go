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
	// maxHeadBytes bounds the head of a forwarded request or answer; headers of callers are limited to 1 MiB by net/http.
	maxHeadBytes = 4 << 20
	// streamCancelled is the stream error code after the reader or writer gave up.
	streamCancelled = 1
)

// streamForwarder sends requests to other entry VMs: a length-prefixed head
// and the body in each direction. A stream that ends by reset is cut, never whole.
type streamForwarder struct {
	transport *peer.Transport
}

// Forward implements gateway.Forwarder.
func (f streamForwarder) Forward(ctx context.Context, vm string, head *pb.ForwardHead, body io.Reader) (*pb.AnswerHead, io.ReadCloser, error) {
	stream, err := f.transport.OpenStream(ctx, vm, forwardMethod)
	if err != nil {
		return nil, nil, forwardError(err)
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
		return nil, nil, answerError(err)
	}
	return answer, &answerBody{reader: reader, stream: stream}, nil
}

func forwardError(err error) error {
	if errors.Is(err, peer.ErrNotSent) {
		return fmt.Errorf("%w: %w", gateway.ErrNotSent, err)
	}
	return fmt.Errorf("%w: %w", gateway.ErrNoAnswer, err)
}

// answerError tells a stream that the other side refused, so that its handler never ran, from a lost answer.
func answerError(err error) error {
	var reset *peer.ResetError
	if errors.As(err, &reset) && reset.Remote && reset.Code == peer.CodeRefused {
		return fmt.Errorf("%w: %w", gateway.ErrNotSent, err)
	}
	return fmt.Errorf("%w: %w", gateway.ErrNoAnswer, err)
}

// sendBody copies the caller's body. If the caller breaks off, the stream is reset so that the receiver never sees
// the body as whole. If the receiver reads no further, the answer or its reset says why, so the stream stays.
func sendBody(stream peer.Stream, body io.Reader) {
	if body != nil {
		source := &sourceReader{reader: body}
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

// sourceReader remembers a failure of the reader, to tell it from a failed write of io.Copy.
type sourceReader struct {
	reader io.Reader
	err    error
}

func (s *sourceReader) Read(p []byte) (int, error) {
	n, err := s.reader.Read(p)
	if err != nil && err != io.EOF {
		s.err = err
	}
	return n, err
}

// answerBody reads the answer and frees the stream when closed.
type answerBody struct {
	reader *bufio.Reader
	stream peer.Stream
}

func (b *answerBody) Read(p []byte) (int, error) { return b.reader.Read(p) }

func (b *answerBody) Close() error {
	b.stream.Cancel(streamCancelled)
	return nil
}

// serveForwards handles requests that other entry VMs forward to this one.
func (s *Server) serveForwards() {
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
		return fmt.Errorf("read length of head: %w", err)
	}
	length := binary.BigEndian.Uint32(prefix[:])
	if length > maxHeadBytes {
		return fmt.Errorf("head of %d bytes exceeds %d", length, maxHeadBytes)
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
