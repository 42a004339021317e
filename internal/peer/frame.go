package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// Kinds of QUIC streams. Each stream starts with a preamble: the kind and the length of the name, one byte each, then
// the name.
const (
	kindControl  byte = 'p' // bidirectional; the name is empty; the acceptor echoes each probe byte
	kindMessages byte = 'm' // unidirectional; the name is the channel; frames follow
	kindCall     byte = 'c' // bidirectional; the name is the method; the time limit in ms and one frame follow; answered by a status
	kindStream   byte = 's' // bidirectional; the name is the method; unframed data follows in both directions
)

// maxNameBytes limits the name of a channel or method.
const maxNameBytes = 64

var errMalformedFrame = errors.New("malformed frame")

func appendPreamble(dst []byte, kind byte, name string) []byte {
	dst = append(dst, kind, byte(len(name)))
	return append(dst, name...)
}

func readPreamble(r *bufio.Reader) (kind byte, name string, err error) {
	var header [2]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, "", err
	}
	if header[1] > maxNameBytes {
		return 0, "", fmt.Errorf("%w: name of %d bytes exceeds the limit", errMalformedFrame, header[1])
	}
	nameBytes := make([]byte, header[1])
	if _, err := io.ReadFull(r, nameBytes); err != nil {
		return 0, "", fmt.Errorf("%w: %w", errMalformedFrame, asUnexpectedEOF(err))
	}
	return header[0], string(nameBytes), nil
}

func appendFrame(dst, payload []byte) []byte {
	dst = binary.AppendUvarint(dst, uint64(len(payload)))
	return append(dst, payload...)
}

// maxPreallocatedBytes limits the memory allocated for a frame before its payload arrives, so that a malformed length
// cannot cause a large allocation.
const maxPreallocatedBytes = 64 << 10

// readFrame reads the payload of one frame. It returns io.EOF only if the stream ends before the first byte of a frame.
func readFrame(r *bufio.Reader) ([]byte, error) {
	if _, err := r.Peek(1); err != nil {
		return nil, err
	}
	length, err := binary.ReadUvarint(r)
	if err != nil {
		return nil, fmt.Errorf("%w: length: %w", errMalformedFrame, asUnexpectedEOF(err))
	}
	if length > MaxMessageBytes {
		return nil, fmt.Errorf("%w: payload of %d bytes exceeds the limit of %d", errMalformedFrame, length, MaxMessageBytes)
	}
	if length <= maxPreallocatedBytes {
		payload := make([]byte, length)
		_, err = io.ReadFull(r, payload)
		return payload, asUnexpectedEOF(err)
	}
	var buffer bytes.Buffer
	buffer.Grow(maxPreallocatedBytes)
	_, err = io.CopyN(&buffer, r, int64(length))
	return buffer.Bytes(), asUnexpectedEOF(err)
}

// asUnexpectedEOF replaces io.EOF by io.ErrUnexpectedEOF and returns any other error unchanged.
func asUnexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
