package disklog

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// The format on disk. Numbers are little-endian. A checksum is the xxhash64 of the
// header fields before it and the data after the header.
const (
	segmentMagic  = "SWLOG\x00\x00\x01"
	snapshotMagic = "SWSNP\x00\x00\x01"

	segmentHeaderSize  = 24 // magic, index of the first record, checksum
	snapshotHeaderSize = 32 // magic, index of the last record that it covers, length, checksum
	frameHeaderSize    = 28 // length, index, index of the batch's first record, checksum
	checksumSize       = 8

	frameIndexOffset = 4
	frameBatchOffset = 12

	maxRecordBytes = 256 << 20
)

// File names: an index of 20 digits and a suffix.
const (
	indexDigits     = 20
	segmentSuffix   = ".log"
	snapshotSuffix  = ".snap"
	temporarySuffix = ".aside" // of a file that is incomplete; removed at the next start
	reserveFileName = "reserve"
)

func segmentFileName(firstIndex uint64) string {
	return fmt.Sprintf("%0*d%s", indexDigits, firstIndex, segmentSuffix)
}

func snapshotFileName(lastIndex uint64) string {
	return fmt.Sprintf("%0*d%s", indexDigits, lastIndex, snapshotSuffix)
}

// parseFileName returns the index in a file name with the given suffix.
func parseFileName(name, suffix string) (index uint64, ok bool) {
	digits, hasSuffix := strings.CutSuffix(name, suffix)
	if !hasSuffix || len(digits) != indexDigits {
		return 0, false
	}
	index, err := strconv.ParseUint(digits, 10, 64)
	return index, err == nil
}

func segmentHeader(firstIndex uint64) []byte {
	header := binary.LittleEndian.AppendUint64([]byte(segmentMagic), firstIndex)
	return binary.LittleEndian.AppendUint64(header, xxhash.Sum64(header))
}

func snapshotHeader(lastIndex uint64, data []byte) []byte {
	header := binary.LittleEndian.AppendUint64([]byte(snapshotMagic), lastIndex)
	header = binary.LittleEndian.AppendUint64(header, uint64(len(data)))
	return binary.LittleEndian.AppendUint64(header, checksum(header, data))
}

func checksum(header, data []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.Write(header)
	_, _ = digest.Write(data)
	return digest.Sum64()
}

// frame is a record with the header fields that are stored with it in a segment.
type frame struct {
	index  uint64
	batch  uint64 // index of the first record of the same batch
	record []byte
}

func (f frame) appendTo(dst []byte) []byte {
	start := len(dst)
	dst = binary.LittleEndian.AppendUint32(dst, uint32(len(f.record)))
	dst = binary.LittleEndian.AppendUint64(dst, f.index)
	dst = binary.LittleEndian.AppendUint64(dst, f.batch)
	dst = binary.LittleEndian.AppendUint64(dst, checksum(dst[start:], f.record))
	return append(dst, f.record...)
}

// size returns the encoded size in bytes.
func (f frame) size() int { return frameHeaderSize + len(f.record) }

// decodeFrame decodes the frame at the start of data; ok is false if it is
// incomplete or fails its checksum. The record is a subslice of data.
func decodeFrame(data []byte) (f frame, ok bool) {
	if len(data) < frameHeaderSize {
		return frame{}, false
	}
	size := int64(binary.LittleEndian.Uint32(data))
	if size > maxRecordBytes || size > int64(len(data)-frameHeaderSize) {
		return frame{}, false
	}
	record := data[frameHeaderSize : frameHeaderSize+size]
	checkedHeader := data[:frameHeaderSize-checksumSize]
	if checksum(checkedHeader, record) != binary.LittleEndian.Uint64(data[frameHeaderSize-checksumSize:]) {
		return frame{}, false
	}
	return frame{
		index:  binary.LittleEndian.Uint64(data[frameIndexOffset:]),
		batch:  binary.LittleEndian.Uint64(data[frameBatchOffset:]),
		record: record,
	}, true
}

// hasLaterBatch reports whether data holds a complete record of a batch that begins
// after badIndex, the index of a record that could not be decoded. A batch is
// written only after the previous one is synced, so such a record proves that the
// bad one was complete on disk.
func hasLaterBatch(data []byte, badIndex uint64) bool {
	for offset := 0; offset+frameHeaderSize <= len(data); offset++ {
		index := binary.LittleEndian.Uint64(data[offset+frameIndexOffset:])
		batch := binary.LittleEndian.Uint64(data[offset+frameBatchOffset:])
		// Check the indices first: a checksum at every offset would take too long.
		if batch <= badIndex || batch > index || index-badIndex > uint64(len(data)) {
			continue
		}
		if _, ok := decodeFrame(data[offset:]); ok {
			return true
		}
	}
	return false
}

// decodeSegment returns a segment's records. completeBytes is the offset of the
// end of the last complete record; the bytes after it are a torn tail, which only
// the last segment may have. It is 0 if the header of the last segment is torn.
func decodeSegment(path string, data []byte, firstIndex uint64, isLast bool) (records [][]byte, completeBytes int, err error) {
	if len(data) < segmentHeaderSize || !bytes.Equal(data[:segmentHeaderSize], segmentHeader(firstIndex)) {
		if isLast && !hasLaterBatch(data, firstIndex-1) {
			return nil, 0, nil
		}
		return nil, 0, newCorruptionError(path, 0, "a bad segment header")
	}
	offset := segmentHeaderSize
	nextIndex := firstIndex
	for offset < len(data) {
		decoded, ok := decodeFrame(data[offset:])
		if !ok || decoded.index != nextIndex {
			if !isLast || hasLaterBatch(data[offset:], nextIndex) {
				return nil, 0, newCorruptionError(path, offset, "a bad record")
			}
			break
		}
		records = append(records, slices.Clone(decoded.record))
		offset += decoded.size()
		nextIndex++
	}
	return records, offset, nil
}

func decodeSnapshot(path string, data []byte, lastIndex uint64) ([]byte, error) {
	if len(data) < snapshotHeaderSize {
		return nil, newCorruptionError(path, 0, "a truncated snapshot header")
	}
	body := data[snapshotHeaderSize:]
	if !bytes.Equal(data[:snapshotHeaderSize], snapshotHeader(lastIndex, body)) {
		return nil, newCorruptionError(path, 0, "a bad snapshot header or checksum")
	}
	return body, nil
}

func newCorruptionError(path string, offset int, problem string) error {
	return &CorruptionError{File: filepath.Base(path), Offset: offset, Problem: problem}
}
