package replica

import (
	"fmt"

	"stepwick/internal/apierror"
)

// UnknownProcessError is returned for a call to a process whose address this core
// does not know.
type UnknownProcessError struct {
	Name string
}

func (e *UnknownProcessError) Error() string {
	return fmt.Sprintf("process %s: address unknown", e.Name)
}

// SnapshotVersionError is returned for a snapshot that contains the state at another
// version than that of the slot under which it is stored.
type SnapshotVersionError struct {
	Version uint64 // version of the state in the snapshot
	Slot    uint64 // slot under which the snapshot is stored
}

func (e *SnapshotVersionError) Error() string {
	return fmt.Sprintf("snapshot at epoch %d contains the state at epoch %d", e.Slot, e.Version)
}

func logClosedError() *apierror.Error {
	return apierror.Errorf(apierror.CoreUnreachable, "the core is not running: its log is closed")
}
