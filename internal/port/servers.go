package port

import (
	"context"
	"time"

	"stepwick/internal/wire"
)

// ServerSource provides the list of servers and polls the status of each.
type ServerSource interface {
	// List reads the complete list of servers. The caller must not modify the result.
	List(ctx context.Context) (Listing, error)
	// Status polls a server for its status. The error is the cause of any outcome other
	// than PollAnswered.
	Status(ctx context.Context, name, address string) (*wire.ServerStatus, PollOutcome, error)
}

// Listing is the result of ServerSource.List.
type Listing struct {
	Servers []*wire.ServerStatus
	// Malformed maps the name of an entry that could not be read to the reason. Such a
	// server counts neither as listed nor as removed.
	Malformed map[string]string
	// WarmUpRemaining maps the name of a server that is warming up to the remaining warm-up
	// time. A server without an entry is not warming up.
	WarmUpRemaining map[string]time.Duration
	// CallCount is the number of calls that were needed to read the list; 0 counts as one.
	CallCount int
}

// PollOutcome is how a server responded to a poll of its status.
type PollOutcome int

const (
	// PollAnswered means that the server responded and the response was parsed.
	PollAnswered PollOutcome = iota
	// PollRefused means that the connection was refused: the server is not running.
	PollRefused
	// PollUnanswered means that no response arrived for another reason, such as a timeout
	// or a reset.
	PollUnanswered
	// PollMalformed means that the response could not be parsed.
	PollMalformed
)
