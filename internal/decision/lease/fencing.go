package lease

import "time"

// A front may serve by the roster for some time after its last lease; then it is fenced
// until a majority of cores grants it a lease again. Cores may therefore wait for a front
// that they don't reach, whatever the reason: dead, partitioned, or behind a partition that
// refuses connections.

// rosterExtension returns how long after the end of its last lease a front may serve by the
// roster.
func rosterExtension(ttl time.Duration) time.Duration { return ttl + ttl/5 }

// fencedAfter returns how long after its last grant, by the clock of the core, a front has
// no authority any more. It exceeds TTL and rosterExtension by a margin for clocks whose
// rates differ.
func fencedAfter(ttl time.Duration) time.Duration { return ttl + rosterExtension(ttl) + ttl/20 }
