package lease

import "time"

// Source names the basis of a front's authority to serve.
type Source string

// Sources of authority. The texts appear in events and in the status of a node.
const (
	// SourceNone: the front may not serve.
	SourceNone Source = "none"
	// SourceLease: a majority of cores granted renewals that were sent within the
	// last TTL.
	SourceLease Source = "lease"
	// SourceRoster: more than half of the roster answered pings that were sent
	// within the last TTL, and no member reported a newer version. It substitutes
	// for leases while the cores are unavailable, for rosterExtension.
	SourceRoster Source = "roster"
)

// Authority states whether a front may serve with its version. Instants are read
// from the same clock as those passed to the Holder.
type Authority struct {
	// Granted reports whether the front may serve.
	Granted bool
	Source  Source
	// RetryAfter is how long a rejected caller should wait before it retries; zero
	// when granted.
	RetryAfter time.Duration
	// Until is when the authority expires unless the Holder records another event;
	// the zero time when not granted. Readers compare it with the clock instead of
	// evaluating the Holder again. A grant or an answered ping may extend it; a
	// newer version reported by a peer may shorten it.
	Until time.Time
}
