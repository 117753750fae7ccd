// Package port holds the interfaces between decisions and the world.
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

// Peers finds other processes of the fleet and speaks to them.
type Peers interface {
	// Process returns what is known of a process by its name.
	Process(name string) (*wire.Process, bool)
	// Processes returns all known processes, in the order of their names. The
	// slice must not be changed.
	Processes() []*wire.Process
	// Cores returns the known processes with a disk, in the order of their names.
	// The slice must not be changed.
	Cores() []*wire.Process
	// Client returns a client for an internal address (ip:port). It never
	// fails; calls to an address that nobody listens on do.
	Client(address string) wireconnect.PeerClient
}

// Sight is a process and when it was last seen to live: by the local clock, the
// instant at which its counter rose here.
type Sight struct {
	Process *wire.Process
	Seen    time.Time
}

// CoresOf returns those of some processes that have a disk.
func CoresOf(processes []*wire.Process) []*wire.Process {
	return slices.DeleteFunc(slices.Clone(processes), func(p *wire.Process) bool { return !p.Core })
}

// Refused tells whether an error means that the far machine actively refused
// the connection, which only a machine does on which the process is gone.
// Silence, a reset and an end inside a call are not refusals.
func Refused(err error) bool {
	if err == nil {
		return false
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op != "dial" {
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
