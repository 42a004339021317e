package peer

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/quic-go/quic-go"

	"github.com/lentilyard/lentilyard/internal/errs"
)

// FuzzFrames guards against panics on malformed input, against allocations sized by a length whose payload does not
// follow, and against frames that are read differently from how they were written.
func FuzzFrames(f *testing.F) {
	f.Add(appendFrame(appendPreamble(nil, kindMessages, "raft"), []byte("payload")))
	f.Add(binary.AppendUvarint(appendPreamble(nil, kindCall, "propose"), MaxMessageBytes))
	f.Add([]byte{kindStream, 255, 0})
	f.Add(encodeAnswer(nil, errs.ErrNoQuorum))
	f.Add(encodeAnswer([]byte("answer"), nil))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, _ = readAnswer(context.Background(), bufio.NewReader(bytes.NewReader(data)))
		r := bufio.NewReader(bytes.NewReader(data))
		kind, name, err := readPreamble(r)
		if err != nil {
			return
		}
		encoded, payloads := appendPreamble(nil, kind, name), [][]byte(nil)
		for {
			payload, err := readFrame(r)
			if err != nil {
				break
			}
			encoded, payloads = appendFrame(encoded, payload), append(payloads, payload)
		}
		reread := bufio.NewReader(bytes.NewReader(encoded))
		if k, n, err := readPreamble(reread); k != kind || n != name || err != nil {
			t.Fatalf("preamble %d %q became %d %q, %v", kind, name, k, n, err)
		}
		for _, payload := range payloads {
			if got, err := readFrame(reread); err != nil || !bytes.Equal(got, payload) {
				t.Fatalf("frame %x became %x, %v", payload, got, err)
			}
		}
	})
}

func TestFrameLimits(t *testing.T) {
	// Guards against a truncated frame that is accepted as complete, and against a frame above the size limit.
	is := is.New(t)
	read := func(data []byte) error {
		_, err := readFrame(bufio.NewReader(bytes.NewReader(data)))
		return err
	}
	whole := appendFrame(nil, bytes.Repeat([]byte{1}, maxPreallocatedBytes+1))
	is.NoErr(read(whole))
	is.Equal(read(nil), io.EOF)
	for _, cut := range []int{1, 2, 100, len(whole) - 1} {
		is.Equal(errors.Is(read(whole[:cut]), io.EOF), false)
		is.True(read(whole[:cut]) != nil)
	}
	is.True(errors.Is(read(binary.AppendUvarint(nil, MaxMessageBytes+1)), errMalformedFrame))
}

func TestMalformedStreams(t *testing.T) {
	// Guards against a malformed stream that ends the connection and with it the other calls on it.
	is := is.New(t)
	a, b := connectedPair(t)
	b.HandleCall("echo", echo)
	conn := a.links["b"].conn.Load()
	for _, data := range [][]byte{{}, {9, 0}, {kindCall, 200}, {kindCall, 1, 'x', 0xff}, binary.AppendUvarint(appendPreamble(nil, kindCall, "echo"), MaxMessageBytes+1), {kindControl, 0}} {
		stream, err := conn.OpenStream()
		is.NoErr(err)
		_, err = stream.Write(data)
		is.NoErr(err)
		// The other side may have cancelled the stream already, and then there is nothing left to close.
		var cancelled *quic.StreamError
		is.True(stream.Close() == nil || errors.As(context.Cause(stream.Context()), &cancelled) && cancelled.Remote)
		is.NoErr(stream.SetReadDeadline(time.Now().Add(5 * time.Second)))
		_, err = io.ReadAll(stream)
		is.True(err != nil && !isTimeout(err))
		messages, err := conn.OpenUniStream()
		is.NoErr(err)
		_, err = messages.Write(data)
		is.NoErr(err)
	}
	is.NoErr(a.Call(timeoutContext(t, 5*time.Second), "b", "echo", newRequest(10), newAnswer()))
	is.Equal(a.links["b"].conn.Load(), conn)
}
