// Package port holds the interfaces between the owners of state and the outside: the
// other processes, the servers, and the HTTP interface of a platform. Adapters and
// test doubles implement them. It holds no state.
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

// Peers finds other processes of the fleet and calls them.
type Peers interface {
	// Process returns what is known of a process by its name.
	Process(name string) (*wire.Process, bool)
	// Processes returns all known processes, in the order of their names. The
	// slice must not be changed.
	Processes() []*wire.Process
	// Cores returns the known cores, in the order of their names. The slice must not
	// be changed.
	Cores() []*wire.Process
	// Client returns a client for an internal address (ip:port). It never fails;
	// calls to an address that nobody listens on do.
	Client(address string) wireconnect.PeerClient
}

// KnownProcess is a process and when it was last seen: by the local clock, the
// instant at which a record with a higher counter arrived here.
type KnownProcess struct {
	Process  *wire.Process
	LastSeen time.Time
}

// CoresOf returns those of some processes that are cores, in their order.
func CoresOf(processes []*wire.Process) []*wire.Process {
	return slices.DeleteFunc(slices.Clone(processes), func(process *wire.Process) bool { return !process.Core })
}

// IsConnectionRefused reports whether an error means that the remote machine
// actively refused the connection, which only a machine does on which the process
// has ended. A timeout, a reset and an end inside a call don't mean that.
func IsConnectionRefused(err error) bool {
	if err == nil {
		return false
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op != "dial" {
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
