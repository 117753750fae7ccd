package disklog

import (
	"fmt"
	"syscall"

	"github.com/pkg/errors"

	"stepwick/internal/apierror"
)

// ErrClosed is returned by a log after Close.
var ErrClosed = errors.New("log is closed")

// CorruptionError is returned for a record, header or snapshot that was complete
// on disk and is now damaged or missing. Its code is BadRecord.
type CorruptionError struct {
	File    string // base name
	Offset  int    // in bytes
	Problem string
}

func (e *CorruptionError) Error() string { return e.Unwrap().Error() }

// Unwrap returns an API error with code BadRecord.
func (e *CorruptionError) Unwrap() error {
	return apierror.Errorf(apierror.BadRecord, "%s in %s at offset %d", e.Problem, e.File, e.Offset)
}

// FullError is returned when the quota or the file system leaves no room for
// records or a snapshot. Its code is DiskFull.
type FullError struct {
	Detail string
}

func (e *FullError) Error() string { return e.Unwrap().Error() }

// Unwrap returns an API error with code DiskFull.
func (e *FullError) Unwrap() error { return apierror.Errorf(apierror.DiskFull, "%s", e.Detail) }

// BusyError is returned when too many requests are waiting for the disk or when
// another snapshot is being written. Its code is CoreUnreachable.
type BusyError struct {
	Detail string
}

func (e *BusyError) Error() string { return e.Unwrap().Error() }

// Unwrap returns an API error with code CoreUnreachable.
func (e *BusyError) Unwrap() error { return apierror.Errorf(apierror.CoreUnreachable, "%s", e.Detail) }

// RecordSizeError is returned for a record that exceeds the format's size limit.
type RecordSizeError struct {
	Size int // in bytes
}

func (e *RecordSizeError) Error() string {
	return fmt.Sprintf("record of %d bytes exceeds the limit of %d bytes", e.Size, maxRecordBytes)
}

// isOutOfSpace reports whether an error means that the file system is full or the
// user's disk quota is exhausted.
func isOutOfSpace(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}
