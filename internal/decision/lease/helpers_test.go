package lease

import (
	"time"

	"stepwick/internal/decision/sheet"
	"stepwick/internal/wire"
)

const ttl = 2 * time.Second

var (
	begin = time.UnixMilli(1_700_000_000_000)
	cores = []string{"c1", "c2", "c3"}
)

func at(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }

func roster(names ...string) map[string]sheet.Member {
	members := map[string]sheet.Member{}
	for _, name := range names {
		members[name] = sheet.Member{Name: name, Front: true}
	}
	return members
}

func renewal(name string, incarnation, version uint64) *wire.RenewRequest {
	return &wire.RenewRequest{Self: &wire.Process{Name: name, Incarnation: incarnation, Front: true}, Epoch: version}
}
