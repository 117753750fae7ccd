package port

import (
	"context"
	"time"

	"stepwick/internal/wire"
)

// ServerSource reads which servers there are and their own status.
type ServerSource interface {
	// List reads the complete list. What it returns must not be changed.
	List(ctx context.Context) (Listing, error)
	// Status polls a server for its own status. The error explains an outcome other
	// than PollAnswered.
	Status(ctx context.Context, name, address string) (*wire.ServerStatus, PollOutcome, error)
}

// Listing is a list of servers.
type Listing struct {
	Servers []*wire.ServerStatus
	// Malformed holds the reason why an entry could not be read, by its name. Such a
	// server counts neither as listed nor as gone.
	Malformed map[string]string
	// ColdFor holds how much longer a server warms up, by its name; those without an
	// entry don't.
	ColdFor map[string]time.Duration
	// Calls is the number of calls that reading the list took; 0 counts as one.
	Calls int
}

// PollOutcome is how a server responded to a poll of its status.
type PollOutcome int

const (
	// PollAnswered is an answer that was read.
	PollAnswered PollOutcome = iota
	// PollRefused is a refused connection: the server does not run.
	PollRefused
	// PollUnanswered is everything else without an answer, as a timeout or a reset.
	PollUnanswered
	// PollMalformed is an answer that can't be read.
	PollMalformed
)
