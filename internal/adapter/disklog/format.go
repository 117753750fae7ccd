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

// The format on disk. Numbers are little-endian, checksums are xxhash64 of all
// that comes before them in the header and of the data after it.
const (
	segmentMagic  = "SWLOG\x00\x00\x01"
	snapshotMagic = "SWSNP\x00\x00\x01"

	segmentHeaderSize  = 24 // magic, index of the first record, checksum
	snapshotHeaderSize = 32 // magic, index of the last record replaced, length, checksum
	frameHeaderSize    = 28 // length, index, index of the batch's first record, checksum
	checksumSize       = 8

	frameIndexOffset = 4
	frameBatchOffset = 12

	maxRecordBytes = 256 << 20
)

// Names of files: 20 digits of an index and a suffix.
const (
	indexDigits     = 20
	segmentSuffix   = ".log"
	snapshotSuffix  = ".snap"
	temporarySuffix = ".aside" // of a file that is not yet, or never, complete
	reserveFileName = "reserve"
)

func segmentFileName(first uint64) string {
	return fmt.Sprintf("%0*d%s", indexDigits, first, segmentSuffix)
}

func snapshotFileName(last uint64) string {
	return fmt.Sprintf("%0*d%s", indexDigits, last, snapshotSuffix)
}

// parseFileName returns the index in the name of a file of one kind.
func parseFileName(name, suffix string) (index uint64, ok bool) {
	digits, found := strings.CutSuffix(name, suffix)
	if !found || len(digits) != indexDigits {
		return 0, false
	}
	index, err := strconv.ParseUint(digits, 10, 64)
	return index, err == nil
}

func segmentHeader(first uint64) []byte {
	header := binary.LittleEndian.AppendUint64([]byte(segmentMagic), first)
	return binary.LittleEndian.AppendUint64(header, xxhash.Sum64(header))
}

func snapshotHeader(last uint64, data []byte) []byte {
	header := binary.LittleEndian.AppendUint64([]byte(snapshotMagic), last)
	header = binary.LittleEndian.AppendUint64(header, uint64(len(data)))
	return binary.LittleEndian.AppendUint64(header, checksum(header, data))
}

func checksum(header, data []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.Write(header)
	_, _ = digest.Write(data)
	return digest.Sum64()
}

// frame is a record as it is encoded in a segment.
type frame struct {
	index  uint64
	batch  uint64 // the index of the first record written together with this one
	record []byte
}

func (f frame) appendTo(to []byte) []byte {
	start := len(to)
	to = binary.LittleEndian.AppendUint32(to, uint32(len(f.record)))
	to = binary.LittleEndian.AppendUint64(to, f.index)
	to = binary.LittleEndian.AppendUint64(to, f.batch)
	to = binary.LittleEndian.AppendUint64(to, checksum(to[start:], f.record))
	return append(to, f.record...)
}

// size is the number of bytes of the frame in a segment.
func (f frame) size() int { return frameHeaderSize + len(f.record) }

// decodeFrame reads the frame at the start of data; ok is false when it is not
// complete or fails its checksum. The record shares data.
func decodeFrame(data []byte) (f frame, ok bool) {
	if len(data) < frameHeaderSize {
		return frame{}, false
	}
	size := int64(binary.LittleEndian.Uint32(data))
	if size > maxRecordBytes || size > int64(len(data)-frameHeaderSize) {
		return frame{}, false
	}
	record := data[frameHeaderSize : frameHeaderSize+size]
	checked := data[:frameHeaderSize-checksumSize]
	if checksum(checked, record) != binary.LittleEndian.Uint64(data[frameHeaderSize-checksumSize:]) {
		return frame{}, false
	}
	return frame{
		index:  binary.LittleEndian.Uint64(data[frameIndexOffset:]),
		batch:  binary.LittleEndian.Uint64(data[frameBatchOffset:]),
		record: record,
	}, true
}

// hasLaterBatch looks beyond a bad record for a complete one of a later batch. A
// batch is written only when the one before is synced, so one that is found
// proves that the bad record was once complete on disk.
func hasLaterBatch(data []byte, badIndex uint64) bool {
	for offset := 0; offset+frameHeaderSize <= len(data); offset++ {
		index := binary.LittleEndian.Uint64(data[offset+frameIndexOffset:])
		batch := binary.LittleEndian.Uint64(data[offset+frameBatchOffset:])
		// Cheap tests first: a checksum at every offset would take too long.
		if batch <= badIndex || batch > index || index-badIndex > uint64(len(data)) {
			continue
		}
		if _, ok := decodeFrame(data[offset:]); ok {
			return true
		}
	}
	return false
}

// decodeSegment returns a segment's records. Complete is the number of bytes up
// to the end of the last complete record; bytes beyond it are a torn tail, which
// only the last segment may have.
func decodeSegment(path string, data []byte, first uint64, last bool) (records [][]byte, complete int, err error) {
	if len(data) < segmentHeaderSize || !bytes.Equal(data[:segmentHeaderSize], segmentHeader(first)) {
		if last && !hasLaterBatch(data, first-1) {
			return nil, 0, nil
		}
		return nil, 0, corruption(path, 0, "a bad head")
	}
	offset := segmentHeaderSize
	next := first
	for offset < len(data) {
		found, ok := decodeFrame(data[offset:])
		if !ok || found.index != next {
			if !last || hasLaterBatch(data[offset:], next) {
				return nil, 0, corruption(path, offset, "a bad record")
			}
			break
		}
		records = append(records, slices.Clone(found.record))
		offset += found.size()
		next++
	}
	return records, offset, nil
}

func decodeSnapshot(path string, data []byte, last uint64) ([]byte, error) {
	if len(data) < snapshotHeaderSize {
		return nil, corruption(path, 0, "a bad head")
	}
	body := data[snapshotHeaderSize:]
	if !bytes.Equal(data[:snapshotHeaderSize], snapshotHeader(last, body)) {
		return nil, corruption(path, 0, "a bad snapshot")
	}
	return body, nil
}

func corruption(path string, offset int, problem string) error {
	return &CorruptionError{File: filepath.Base(path), Offset: offset, Problem: problem}
}
