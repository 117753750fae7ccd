// Package port holds the interfaces between decisions and the world.
package port

import (
	"net"
	"syscall"

	"github.com/pkg/errors"

	"stepwick/internal/wire"
	"stepwick/internal/wire/wireconnect"
)

// Peers finds other processes of the fleet and speaks to them.
type Peers interface {
	// Process returns what is known of a process by its name.
	Process(name string) (*wire.Process, bool)
	// Processes returns all known processes, in the order of their names.
	Processes() []*wire.Process
	// Client returns a client for an internal address (ip:port). It never
	// fails; calls to an address that nobody listens on do.
	Client(address string) wireconnect.PeerClient
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
