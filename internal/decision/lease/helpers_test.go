package lease

import (
	"time"

	"stepwick/internal/decision/statemachine"
	"stepwick/internal/wire"
)

const ttl = 2 * time.Second

var (
	startTime = time.UnixMilli(1_700_000_000_000)
	coreNames = []string{"c1", "c2", "c3"}
)

func atMS(ms int) time.Time { return startTime.Add(time.Duration(ms) * time.Millisecond) }

func newRoster(names ...string) map[string]statemachine.Member {
	members := map[string]statemachine.Member{}
	for _, name := range names {
		members[name] = statemachine.Member{Name: name, Front: true}
	}
	return members
}

func newRenewal(name string, incarnation, version uint64) *wire.RenewRequest {
	return &wire.RenewRequest{Self: &wire.Process{Name: name, Incarnation: incarnation, Front: true}, Epoch: version}
}
