package wal

import (
	"encoding/binary"
	"hash/crc32"
)

// A segment file consists of a segment header and frames. A frame holds either
// one batch of records, or a sync marker, which states that the batch before it
// was synced:
//
//	segment header: magic(8) logID(8) firstSequence(8) crc(4)
//	frame header:   magic(4) kind(4) sequence(8) length(4) payloadCRC(4) headerCRC(4)
//	batch payload:  for each record: index(8) length(4) data
//
// Checksums are CRC-32C. Those of frames are seeded with the random log id, so that
// record data cannot be mistaken for a frame.
const (
	segmentMagic      = "LYWAL\x00\x00\x01"
	segmentHeaderSize = 28
	frameMagic        = 0x5a17c0de
	frameHeaderSize   = 28
	recordHeaderSize  = 12
	maxFramePayload   = 1 << 30
)

type frameKind uint32

const (
	batchFrame frameKind = 1
	// syncedFrame is the sync marker. It is written after a batch was synced, and is itself not
	// synced. It lets recovery tell a torn last batch from a corrupt one.
	syncedFrame frameKind = 2
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

type segmentHeader struct {
	logID, firstSequence uint64
}

func (h segmentHeader) encode() []byte {
	b := make([]byte, 0, segmentHeaderSize)
	b = append(b, segmentMagic...)
	b = binary.LittleEndian.AppendUint64(b, h.logID)
	b = binary.LittleEndian.AppendUint64(b, h.firstSequence)
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

func decodeSegmentHeader(b []byte) (segmentHeader, bool) {
	if len(b) < segmentHeaderSize || string(b[:8]) != segmentMagic {
		return segmentHeader{}, false
	}
	if crc32.Checksum(b[:24], castagnoli) != binary.LittleEndian.Uint32(b[24:]) {
		return segmentHeader{}, false
	}
	return segmentHeader{logID: binary.LittleEndian.Uint64(b[8:]), firstSequence: binary.LittleEndian.Uint64(b[16:])}, true
}

type frame struct {
	kind     frameKind
	sequence uint64
	payload  []byte
}

// checksumSeed returns the initial checksum for the frames of a log.
func checksumSeed(logID uint64) uint32 {
	return crc32.Checksum(binary.LittleEndian.AppendUint64(nil, logID), castagnoli)
}

// appendTo appends the encoded frame to b. The seed comes from checksumSeed.
func (f frame) appendTo(b []byte, seed uint32) []byte {
	start := len(b)
	b = binary.LittleEndian.AppendUint32(b, frameMagic)
	b = binary.LittleEndian.AppendUint32(b, uint32(f.kind))
	b = binary.LittleEndian.AppendUint64(b, f.sequence)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(f.payload)))
	b = binary.LittleEndian.AppendUint32(b, crc32.Update(seed, castagnoli, f.payload))
	b = binary.LittleEndian.AppendUint32(b, crc32.Update(seed, castagnoli, b[start:]))
	return append(b, f.payload...)
}

// decodeFrame decodes the frame at the start of b and returns it with its encoded size. It returns
// false if the frame is incomplete or a checksum does not match.
func decodeFrame(b []byte, seed uint32) (frame, int, bool) {
	if len(b) < frameHeaderSize || binary.LittleEndian.Uint32(b) != frameMagic {
		return frame{}, 0, false
	}
	if crc32.Update(seed, castagnoli, b[:24]) != binary.LittleEndian.Uint32(b[24:]) {
		return frame{}, 0, false
	}
	length := int(binary.LittleEndian.Uint32(b[16:]))
	if length > len(b)-frameHeaderSize {
		return frame{}, 0, false
	}
	payload := b[frameHeaderSize : frameHeaderSize+length]
	if crc32.Update(seed, castagnoli, payload) != binary.LittleEndian.Uint32(b[20:]) {
		return frame{}, 0, false
	}
	f := frame{kind: frameKind(binary.LittleEndian.Uint32(b[4:])), sequence: binary.LittleEndian.Uint64(b[8:]), payload: payload}
	return f, frameHeaderSize + length, true
}

// containsFrame reports whether a valid frame starts anywhere in b.
func containsFrame(b []byte, seed uint32) bool {
	for i := 0; i+frameHeaderSize <= len(b); i++ {
		if binary.LittleEndian.Uint32(b[i:]) != frameMagic {
			continue
		}
		if _, _, ok := decodeFrame(b[i:], seed); ok {
			return true
		}
	}
	return false
}

// Record is one entry of the log. Index determines when compaction drops it.
type Record struct {
	Index uint64
	Data  []byte
	// Sequence is the number of the batch that holds the record. Recovery sets it,
	// Append ignores it.
	Sequence uint64
}

func appendRecord(b []byte, r Record) []byte {
	b = binary.LittleEndian.AppendUint64(b, r.Index)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(r.Data)))
	return append(b, r.Data...)
}

func decodeRecords(payload []byte) ([]Record, bool) {
	var records []Record
	for len(payload) > 0 {
		if len(payload) < recordHeaderSize {
			return nil, false
		}
		length := int(binary.LittleEndian.Uint32(payload[8:]))
		if length > len(payload)-recordHeaderSize {
			return nil, false
		}
		data := payload[recordHeaderSize : recordHeaderSize+length : recordHeaderSize+length]
		records = append(records, Record{Index: binary.LittleEndian.Uint64(payload), Data: data})
		payload = payload[recordHeaderSize+length:]
	}
	return records, true
}
