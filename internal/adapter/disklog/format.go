package disklog

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"stepwick/internal/apierror"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

const (
	segmentMagic  = "SWLOG\x00\x00\x01"
	snapshotMagic = "SWSNP\x00\x00\x01"
	segmentHead   = 24 // magic, first place, checksum
	snapshotHead  = 32 // magic, place, length, checksum
	frameHead     = 28 // length, place, first place of the batch, checksum
	maxRecord     = 256 << 20

	segmentSuffix  = ".log"
	snapshotSuffix = ".snap"
	asideSuffix    = ".aside"
	reserveName    = "reserve"
)

func segmentName(first uint64) string  { return fmt.Sprintf("%020d%s", first, segmentSuffix) }
func snapshotName(place uint64) string { return fmt.Sprintf("%020d%s", place, snapshotSuffix) }

func placeOf(name, suffix string) (uint64, bool) {
	digits, found := strings.CutSuffix(name, suffix)
	if !found || len(digits) != 20 {
		return 0, false
	}
	place, err := strconv.ParseUint(digits, 10, 64)
	return place, err == nil
}

func segmentHeader(first uint64) []byte {
	head := binary.LittleEndian.AppendUint64([]byte(segmentMagic), first)
	return binary.LittleEndian.AppendUint64(head, xxhash.Sum64(head))
}

func snapshotHeader(place uint64, data []byte) []byte {
	head := binary.LittleEndian.AppendUint64([]byte(snapshotMagic), place)
	head = binary.LittleEndian.AppendUint64(head, uint64(len(data)))
	return binary.LittleEndian.AppendUint64(head, snapshotSum(head, data))
}

func snapshotSum(head, data []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.Write(head)
	_, _ = digest.Write(data)
	return digest.Sum64()
}

func appendFrame(to []byte, place, batch uint64, record []byte) []byte {
	start := len(to)
	to = binary.LittleEndian.AppendUint32(to, uint32(len(record)))
	to = binary.LittleEndian.AppendUint64(to, place)
	to = binary.LittleEndian.AppendUint64(to, batch)
	to = binary.LittleEndian.AppendUint64(to, snapshotSum(to[start:], record))
	return append(to, record...)
}

// frame reads the record at the start of data; ok is false when it is not
// whole or fails its checksum.
func frame(data []byte) (place, batch uint64, record []byte, ok bool) {
	if len(data) < frameHead {
		return 0, 0, nil, false
	}
	size := int64(binary.LittleEndian.Uint32(data))
	if size > maxRecord || size > int64(len(data)-frameHead) {
		return 0, 0, nil, false
	}
	record = data[frameHead : frameHead+size]
	if snapshotSum(data[:frameHead-8], record) != binary.LittleEndian.Uint64(data[frameHead-8:]) {
		return 0, 0, nil, false
	}
	return binary.LittleEndian.Uint64(data[4:]), binary.LittleEndian.Uint64(data[12:]), record, true
}

// laterBatch looks beyond a bad record for a whole one of a later batch. A
// batch is written only when the one before is synced, so one that is found
// proves that the bad record was once whole on disk.
func laterBatch(data []byte, bad uint64) bool {
	for at := 0; at+frameHead <= len(data); at++ {
		place := binary.LittleEndian.Uint64(data[at+4:])
		batch := binary.LittleEndian.Uint64(data[at+12:])
		if batch <= bad || batch > place || place-bad > uint64(len(data)) {
			continue
		}
		if _, _, _, ok := frame(data[at:]); ok {
			return true
		}
	}
	return false
}

func badRecord(path string, offset int, what string) error {
	return &apierror.Error{Code: apierror.BadRecord, Detail: fmt.Sprintf("%s in %s at offset %d", what, filepath.Base(path), offset)}
}

// readSegment returns a segment's records. Whole is the number of bytes up to
// the end of the last whole record; bytes beyond it are a torn tail, which only
// the last segment may have.
func readSegment(path string, data []byte, first uint64, last bool) (records [][]byte, whole int, err error) {
	if len(data) < segmentHead || !bytes.Equal(data[:segmentHead], segmentHeader(first)) {
		if last && !laterBatch(data, first-1) {
			return nil, 0, nil
		}
		return nil, 0, badRecord(path, 0, "a bad head")
	}
	at, next := segmentHead, first
	for at < len(data) {
		place, _, record, ok := frame(data[at:])
		if !ok || place != next {
			if !last || laterBatch(data[at:], next) {
				return nil, 0, badRecord(path, at, "a bad record")
			}
			break
		}
		records = append(records, slices.Clone(record))
		at += frameHead + len(record)
		next++
	}
	return records, at, nil
}

func readSnapshot(path string, data []byte, place uint64) ([]byte, error) {
	if len(data) < snapshotHead {
		return nil, badRecord(path, 0, "a bad head")
	}
	body := data[snapshotHead:]
	if !bytes.Equal(data[:snapshotHead], snapshotHeader(place, body)) {
		return nil, badRecord(path, 0, "a bad snapshot")
	}
	return body, nil
}

func checkSize(record []byte) error {
	if len(record) > maxRecord {
		return errors.Errorf("a record of %d bytes", len(record))
	}
	return nil
}
