package node

import (
	"cmp"
	"context"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"stepwick/internal/adapter/internalrpc"
	"stepwick/internal/clock"
	"stepwick/internal/decision/paxos"
	"stepwick/internal/events"
	"stepwick/internal/settings"
	"stepwick/internal/wire"
)

// A formation's cores go by names that outlive machines. A core with a blank
// disk that is none of them may take the name of one that is gone, and enters
// as that one would with a wiped disk: in a later disk life, against which
// nothing counts that the earlier holder of the name still says. A holder that
// comes back learns of the later life, empties its folder and stands by.

const (
	placeFile  = "place" // in the data folder: the name that this core took
	placeLook  = 100 * time.Millisecond
	placeRest  = 500 * time.Millisecond // between two looks while every core of the formation answers
	placeCall  = 400 * time.Millisecond
	placeAlone = 2 * time.Second // without a word of a formation after which a core starts under its own name
)

// errReplaced ends a process whose place another one has taken.
var errReplaced = errors.New("another core has taken the place of this one")

// candidate looks for the name of a formation's core that is gone.
type candidate struct {
	own       string
	address   string
	seeds     []string
	goneAfter time.Duration
	pool      *internalrpc.Pool
	clock     clock.Clock
	log       events.Log
	silent    map[string]time.Time // since when a core of the formation has not answered
}

// takePlace returns the name under which a core is to run: the one that its
// data folder holds, its own where it is the formation's or there is none yet,
// or that of a core that is gone, for which it waits.
func takePlace(ctx context.Context, world World, values *settings.Values, log events.Log) (string, error) {
	own, folder := values.String("name"), values.String("data")
	if folder == "" {
		return own, nil
	}
	if kept, err := os.ReadFile(filepath.Join(folder, placeFile)); err == nil && len(kept) > 0 {
		return strings.TrimSpace(string(kept)), nil
	}
	if entries, err := os.ReadDir(folder); err == nil && len(entries) > 0 {
		return own, nil
	}
	c := &candidate{
		own: own, address: or(values.String("advertise.internal"), values.String("listen.internal")),
		seeds: values.Strings("seeds"), goneAfter: values.Duration("core.gone_after"),
		pool:  internalrpc.NewPool(world.Dial, "", values.String("fleet.secret")),
		clock: clock.Monotonic(world.Clock), log: log, silent: map[string]time.Time{},
	}
	defer c.pool.CloseIdle()
	name, err := c.wait(ctx)
	if err != nil || name == own {
		return name, err
	}
	log.Emit(events.ReplacementStarted, "core", own, "place", name)
	return name, keepPlace(folder, name)
}

// wait looks at the formation until there is a place for this core.
func (c *candidate) wait(ctx context.Context) (string, error) {
	begun, told := c.clock.Now(), false
	for {
		cores := c.survey(ctx)
		voters := votersOf(cores)
		switch {
		case slices.Contains(voters, c.own):
			return c.own, nil
		case len(voters) == 0 && c.clock.Now().Sub(begun) >= placeAlone:
			return c.own, nil
		}
		if place, found := c.vacant(cores, voters); found {
			return place, nil
		}
		if len(voters) > 0 && !told {
			told = true
			c.log.Emit(events.ReplacementWaiting, "core", c.own, "voters", strings.Join(voters, " "))
		}
		wait := placeLook
		if len(voters) > 0 && len(c.silent) == 0 {
			wait = placeRest
		}
		select {
		case <-ctx.Done():
			return "", ctx.Err()
		case <-c.clock.After(wait):
		}
	}
}

// survey asks the seeds, and the cores that they name, and returns what is
// known of each core, with those that answered themselves.
func (c *candidate) survey(ctx context.Context) map[string]*sighting {
	known := map[string]*sighting{}
	asked := map[string]bool{c.address: true}
	queue := slices.Clone(c.seeds)
	for len(queue) > 0 {
		var fresh []string
		for _, address := range queue {
			if !asked[address] {
				asked[address] = true
				fresh = append(fresh, address)
			}
		}
		queue = nil
		for _, answer := range c.greet(ctx, fresh) {
			note(known, answer.Self, true)
			for _, process := range answer.Known {
				if process.Core {
					note(known, process, false)
					queue = append(queue, process.Address)
				}
			}
		}
	}
	return known
}

// sighting is what is known of a core.
type sighting struct {
	process  *wire.Process
	answered bool
}

func note(known map[string]*sighting, process *wire.Process, answered bool) {
	if process == nil || !process.Core {
		return
	}
	held := known[process.Name]
	if held == nil {
		held = &sighting{process: process}
		known[process.Name] = held
	}
	if answered {
		held.process, held.answered = process, true
	}
}

func (c *candidate) greet(ctx context.Context, addresses []string) []*wire.HelloResponse {
	answers := make(chan *wire.HelloResponse, len(addresses))
	for _, address := range addresses {
		go func() {
			bound, cancel := context.WithTimeout(ctx, placeCall)
			defer cancel()
			resp, err := c.pool.Client(address).Hello(bound, connect.NewRequest(&wire.HelloRequest{}))
			if err != nil {
				answers <- nil
				return
			}
			answers <- resp.Msg
		}()
	}
	var got []*wire.HelloResponse
	for range addresses {
		if answer := <-answers; answer != nil {
			got = append(got, answer)
		}
	}
	return got
}

// votersOf returns the names of the formation's cores as those that vote say.
func votersOf(cores map[string]*sighting) []string {
	for _, name := range sortedKeys(cores) {
		if seen := cores[name]; seen.answered && len(seen.process.Voters) > 0 {
			return seen.process.Voters
		}
	}
	return nil
}

// vacant returns the name of a core that has not answered for long enough,
// while so many others do that a lost disk can be rebuilt from them. Of several
// such names each candidate prefers another one, so that two of them seldom
// claim the same.
func (c *candidate) vacant(cores map[string]*sighting, voters []string) (string, bool) {
	now := c.clock.Now()
	var gone []string
	answering := 0
	for _, voter := range voters {
		seen := cores[voter]
		if seen != nil && seen.answered {
			answering++
			delete(c.silent, voter)
			continue
		}
		if _, since := c.silent[voter]; !since {
			c.silent[voter] = now
		}
		if now.Sub(c.silent[voter]) >= c.goneAfter {
			gone = append(gone, voter)
		}
	}
	if len(gone) == 0 || answering < (paxos.State{Voters: voters}).RecoveryQuorum() {
		return "", false
	}
	return slices.MaxFunc(gone, func(a, b string) int { return cmp.Compare(c.preference(a), c.preference(b)) }), true
}

func (c *candidate) preference(place string) uint64 { return xxhash.Sum64String(c.own + "/" + place) }

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// keepPlace writes the name down, so that the core keeps it over restarts.
func keepPlace(folder, name string) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return errors.Wrap(err, "the data folder")
	}
	file, err := os.Create(filepath.Join(folder, placeFile))
	if err != nil {
		return errors.Wrap(err, "the core's place")
	}
	defer file.Close()
	if _, err := file.WriteString(name); err != nil {
		return errors.Wrap(err, "the core's place")
	}
	if err := file.Sync(); err != nil {
		return errors.Wrap(err, "the core's place")
	}
	parent, err := os.Open(folder)
	if err != nil {
		return errors.Wrap(err, "the data folder")
	}
	defer parent.Close()
	return errors.Wrap(parent.Sync(), "the data folder")
}

// emptyFolder removes what a core kept, once its place is another's.
func emptyFolder(folder string) error {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return errors.Wrap(err, "the data folder")
	}
	for _, entry := range entries {
		if err := os.RemoveAll(filepath.Join(folder, entry.Name())); err != nil {
			return errors.Wrap(err, "the data folder")
		}
	}
	return nil
}
