// Package port defines the interfaces through which the stateful packages reach
// everything outside the process: other processes, servers, and the HTTP interface of
// a platform. Adapters and test doubles implement them. The package itself is
// stateless.
package port

import (
	"net"
	"slices"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"stepwick/internal/wire"
	"stepwick/internal/wire/wireconnect"
)

// Peers is the directory of the processes of the fleet, and provides clients to call
// them.
type Peers interface {
	// Process returns the latest record of the process with the given name.
	Process(name string) (*wire.Process, bool)
	// Processes returns the records of all known processes, sorted by name. The caller
	// must not modify the slice.
	Processes() []*wire.Process
	// Cores returns the records of all known cores, sorted by name. The caller must not
	// modify the slice.
	Cores() []*wire.Process
	// Client returns a client for an internal address (ip:port). It opens no connection
	// and never fails; calls fail if nothing listens on the address.
	Client(address string) wireconnect.PeerClient
}

// KnownProcess is a process and the time it was last seen: the instant, by the local
// clock, at which a record with a higher counter arrived.
type KnownProcess struct {
	Process  *wire.Process
	LastSeen time.Time
}

// CoresOf returns the processes that are cores, in the given order. It does not modify
// its argument.
func CoresOf(processes []*wire.Process) []*wire.Process {
	return slices.DeleteFunc(slices.Clone(processes), func(process *wire.Process) bool { return !process.Core })
}

// IsConnectionRefused reports whether an error means that the connection was refused, so
// that the call was not received. It does not show that the process at the address has
// ended: a partition may refuse connections too.
func IsConnectionRefused(err error) bool {
	if err == nil {
		return false
	}
	var opError *net.OpError
	if errors.As(err, &opError) && opError.Op != "dial" {
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
