package replica

import (
	"fmt"

	"stepwick/internal/apierror"
)

// UnknownCoreError is returned for a call to a core whose address is not known
// here.
type UnknownCoreError struct {
	Core string
}

func (e *UnknownCoreError) Error() string { return fmt.Sprintf("core %s is not known here", e.Core) }

// SnapshotVersionError is returned for a snapshot whose configuration is not of
// the version under which it is stored.
type SnapshotVersionError struct {
	Version uint64 // of the configuration in the snapshot
	Stored  uint64 // the slot under which it is stored
}

func (e *SnapshotVersionError) Error() string {
	return fmt.Sprintf("a snapshot of epoch %d under %d", e.Version, e.Stored)
}

func logClosedError() *apierror.Error {
	return apierror.Errorf(apierror.CoreUnreachable, "the core's log is closed")
}
