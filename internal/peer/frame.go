package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// Kinds of QUIC streams. Each stream starts with a preamble: kind, length of the name, name.
const (
	kindControl  byte = 'p' // probes, name empty
	kindMessages byte = 'm' // unidirectional; name is the channel; frames follow
	kindCall     byte = 'c' // name is the method; time limit and one frame follow; answered by a status and one frame
	kindStream   byte = 's' // name is the method; the contents follow
)

// maxNameBytes bounds the name of a channel or method.
const maxNameBytes = 64

var errFrame = errors.New("malformed frame")

func appendPreamble(to []byte, kind byte, name string) []byte {
	to = append(to, kind, byte(len(name)))
	return append(to, name...)
}

func readPreamble(r *bufio.Reader) (kind byte, name string, err error) {
	var head [2]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, "", err
	}
	if head[1] > maxNameBytes {
		return 0, "", fmt.Errorf("%w: name of %d bytes", errFrame, head[1])
	}
	buffer := make([]byte, head[1])
	if _, err := io.ReadFull(r, buffer); err != nil {
		return 0, "", fmt.Errorf("%w: %w", errFrame, noEOF(err))
	}
	return head[0], string(buffer), nil
}

func appendFrame(to, payload []byte) []byte {
	to = binary.AppendUvarint(to, uint64(len(payload)))
	return append(to, payload...)
}

// preallocatedBytes bounds the memory that a length alone can claim before its bytes arrive.
const preallocatedBytes = 64 << 10

// readFrame returns io.EOF only between frames.
func readFrame(r *bufio.Reader) ([]byte, error) {
	if _, err := r.Peek(1); err != nil {
		return nil, err
	}
	length, err := binary.ReadUvarint(r)
	if err != nil {
		return nil, fmt.Errorf("%w: length: %w", errFrame, noEOF(err))
	}
	if length > MaxMessageBytes {
		return nil, fmt.Errorf("%w: %d bytes, more than %d", errFrame, length, MaxMessageBytes)
	}
	if length <= preallocatedBytes {
		payload := make([]byte, length)
		_, err = io.ReadFull(r, payload)
		return payload, noEOF(err)
	}
	var buffer bytes.Buffer
	buffer.Grow(preallocatedBytes)
	_, err = io.CopyN(&buffer, r, int64(length))
	return buffer.Bytes(), noEOF(err)
}

// noEOF turns the end of a stream within a frame into an error.
func noEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
