package disklog

import (
	"fmt"
	"syscall"

	"github.com/pkg/errors"

	"stepwick/internal/apierror"
)

// ErrClosed is returned by a log after Close.
var ErrClosed = errors.New("the log is closed")

// CorruptionError is returned for a record, header or snapshot that was once
// complete on disk and isn't any more. Its code is BadRecord.
type CorruptionError struct {
	File    string // without its folder
	Offset  int    // in bytes
	Problem string
}

func (e *CorruptionError) Error() string { return e.Unwrap().Error() }

// Unwrap returns the error with its result code.
func (e *CorruptionError) Unwrap() error {
	return apierror.Errorf(apierror.BadRecord, "%s in %s at offset %d", e.Problem, e.File, e.Offset)
}

// FullError is returned when there is no room for records or a snapshot, by the
// quota or by the file system. Its code is DiskFull.
type FullError struct {
	Detail string
}

func (e *FullError) Error() string { return e.Unwrap().Error() }

// Unwrap returns the error with its result code.
func (e *FullError) Unwrap() error { return apierror.Errorf(apierror.DiskFull, "%s", e.Detail) }

// BusyError is returned when the disk is too slow for what it is asked to do.
// Its code is CoreUnreachable.
type BusyError struct {
	Detail string
}

func (e *BusyError) Error() string { return e.Unwrap().Error() }

// Unwrap returns the error with its result code.
func (e *BusyError) Unwrap() error { return apierror.Errorf(apierror.CoreUnreachable, "%s", e.Detail) }

// RecordSizeError is returned for a record that is larger than the format allows.
type RecordSizeError struct {
	Size int // in bytes
}

func (e *RecordSizeError) Error() string { return fmt.Sprintf("a record of %d bytes", e.Size) }

// isNoSpace reports whether a file system has no room, for anyone or for this
// user.
func isNoSpace(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}
