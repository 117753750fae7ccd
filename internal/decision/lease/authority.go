package lease

import "time"

// Source names what a front's authority to serve rests on.
type Source string

// Sources of authority. Their texts appear in events and in the status of a node.
const (
	// SourceNone: the front may not serve.
	SourceNone Source = "none"
	// SourceLease: a majority of cores granted a renewal within the TTL.
	SourceLease Source = "lease"
	// SourceRoster: more than half of the roster answered within the TTL, and no
	// member reported a newer version. It replaces leases while cores are lost.
	SourceRoster Source = "roster"
)

// Authority states whether a front may serve by its version. Its instants are on
// the clock that the Holder was given.
type Authority struct {
	// Granted reports whether the front may serve.
	Granted bool
	Source  Source
	// RetryAfter is when a rejected caller should retry; zero when granted.
	RetryAfter time.Duration
	// Until is the instant at which the authority lapses if nothing else is
	// recorded; the zero time when it is not granted. Readers compare their clock
	// with it and need not evaluate the Holder again. What is recorded meanwhile may
	// move it: a grant or answered ping later, a newer version of a peer earlier.
	Until time.Time
}
