package node

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"

	"stepwick/internal/adapter/internalrpc"
	"stepwick/internal/clock"
	"stepwick/internal/decision/paxos"
	"stepwick/internal/events"
	"stepwick/internal/settings"
	"stepwick/internal/wire"
)

// Replacement of failed voting cores. The names of the voting cores outlive the
// machines that they run on. A core with an empty disk that is not a voting core may
// take over the name of one that failed. It then joins as the failed core would after
// the loss of its disk: with a higher disk incarnation, so that messages from the
// previous core with this name are ignored. If that one returns, it learns of the
// higher incarnation, empties its data folder and becomes a standby.

const (
	searchInterval = 100 * time.Millisecond
	// idleSearchInterval is the search interval while all voting cores answer.
	idleSearchInterval = 500 * time.Millisecond
	searchHelloTimeout = 400 * time.Millisecond
	// soloStartDelay is the time without any voting core found after which a core
	// starts under its own name.
	soloStartDelay = 2 * time.Second
)

// chooseCoreName returns the name under which a core runs: a name that it has taken over
// before; its own name if the data folder is not empty, if it is the name of a voting
// core or if there are no voting cores yet; or the name of a failed voting core. It
// blocks until one of these applies, and returns the context's error if that ends
// first.
func chooseCoreName(ctx context.Context, environment Environment, values *settings.Values, log events.Log) (string, error) {
	self := values.String("name")
	folder := values.String("data")
	if folder == "" {
		return self, nil
	}
	if name, taken := readTakenName(folder); taken {
		return name, nil
	}
	if holdsData(folder) {
		return self, nil
	}
	search := &replacementSearch{
		self:            self,
		address:         internalAddress(values),
		seeds:           values.Strings("seeds"),
		failedAfter:     values.Duration("core.gone_after"),
		pool:            internalrpc.NewPool(environment.Dial, "", values.String("fleet.secret")),
		clock:           clock.Monotonic(environment.Clock),
		log:             log,
		unansweredSince: map[string]time.Time{},
	}
	defer search.pool.CloseIdle()
	name, err := search.run(ctx)
	if err != nil || name == self {
		return name, err
	}
	log.Emit(events.ReplacementStarted, "core", self, "place", name)
	return name, storeTakenName(folder, name)
}

// replacementSearch searches for a failed voting core that can be replaced.
type replacementSearch struct {
	self            string
	address         string
	seeds           []string
	failedAfter     time.Duration
	pool            *internalrpc.Pool
	clock           clock.Clock
	log             events.Log
	unansweredSince map[string]time.Time // time of the first unanswered hello, by voting core
}

// run searches until there is a name under which this core can run.
func (s *replacementSearch) run(ctx context.Context) (string, error) {
	startedAt := s.clock.Now()
	isLogged := false
	for {
		cores := s.discoverCores(ctx)
		voters := reportedVoters(cores)
		switch {
		case slices.Contains(voters, s.self):
			return s.self, nil
		case len(voters) == 0 && s.clock.Now().Sub(startedAt) >= soloStartDelay:
			return s.self, nil
		}
		if name, found := s.failedVoter(cores, voters); found {
			return name, nil
		}
		if len(voters) > 0 && !isLogged {
			isLogged = true
			s.log.Emit(events.ReplacementWaiting, "core", s.self, "voters", strings.Join(voters, " "))
		}
		select {
		case <-ctx.Done():
			return "", ctx.Err()
		case <-s.clock.After(s.interval(voters)):
		}
	}
}

func (s *replacementSearch) interval(voters []string) time.Duration {
	if len(voters) > 0 && len(s.unansweredSince) == 0 {
		return idleSearchInterval
	}
	return searchInterval
}

// discoveredCore is a core found by a search.
type discoveredCore struct {
	process  *wire.Process
	answered bool // the core itself; if false, process is what another process reported
}

// discoverCores sends hellos to the seeds and, transitively, to the cores in their
// answers. It returns the cores found by name.
func (s *replacementSearch) discoverCores(ctx context.Context) map[string]*discoveredCore {
	cores := map[string]*discoveredCore{}
	contacted := map[string]bool{s.address: true}
	queue := slices.Clone(s.seeds)
	for len(queue) > 0 {
		var next []string
		for _, address := range queue {
			if !contacted[address] {
				contacted[address] = true
				next = append(next, address)
			}
		}
		queue = nil
		for _, answer := range s.sendHellos(ctx, next) {
			addCore(cores, answer.Self, true)
			for _, process := range answer.Known {
				if process.Core {
					addCore(cores, process, false)
					queue = append(queue, process.Address)
				}
			}
		}
	}
	return cores
}

// addCore adds a process to cores if it is a core. The core's own record replaces one
// reported by another process.
func addCore(cores map[string]*discoveredCore, process *wire.Process, answered bool) {
	if process == nil || !process.Core {
		return
	}
	core := cores[process.Name]
	if core == nil {
		core = &discoveredCore{process: process}
		cores[process.Name] = core
	}
	if answered {
		core.process = process
		core.answered = true
	}
}

// sendHellos sends a hello to each address concurrently and returns the answers.
func (s *replacementSearch) sendHellos(ctx context.Context, addresses []string) []*wire.HelloResponse {
	results := make(chan *wire.HelloResponse, len(addresses))
	for _, address := range addresses {
		go func() {
			callCtx, cancel := context.WithTimeout(ctx, searchHelloTimeout)
			defer cancel()
			resp, err := s.pool.Client(address).Hello(callCtx, connect.NewRequest(&wire.HelloRequest{}))
			if err != nil {
				results <- nil
				return
			}
			results <- resp.Msg
		}()
	}
	var answers []*wire.HelloResponse
	for range addresses {
		if answer := <-results; answer != nil {
			answers = append(answers, answer)
		}
	}
	return answers
}

// reportedVoters returns the names of the voting cores as reported by the first core, in
// order of names, that answered and knows them. It returns nil if there is none.
func reportedVoters(cores map[string]*discoveredCore) []string {
	for _, name := range slices.Sorted(maps.Keys(cores)) {
		if core := cores[name]; core.answered && len(core.process.Voters) > 0 {
			return core.process.Voters
		}
	}
	return nil
}

// failedVoter returns the name of a voting core that has not answered for at least
// failedAfter, provided that enough others answer to recover a lost disk. If several
// have failed, each searching core prefers a different one, so that two searching cores
// rarely take over the same name.
func (s *replacementSearch) failedVoter(cores map[string]*discoveredCore, voters []string) (string, bool) {
	now := s.clock.Now()
	var failed []string
	answering := 0
	for _, voter := range voters {
		if core := cores[voter]; core != nil && core.answered {
			answering++
			delete(s.unansweredSince, voter)
			continue
		}
		if _, unanswered := s.unansweredSince[voter]; !unanswered {
			s.unansweredSince[voter] = now
		}
		if now.Sub(s.unansweredSince[voter]) >= s.failedAfter {
			failed = append(failed, voter)
		}
	}
	if len(failed) == 0 || answering < (paxos.State{Voters: voters}).RecoveryQuorum() {
		return "", false
	}
	preferred := slices.MaxFunc(failed, func(a, b string) int {
		return cmp.Compare(s.preference(a), s.preference(b))
	})
	return preferred, true
}

// preference returns the weight of a failed core's name for this searching core.
func (s *replacementSearch) preference(name string) uint64 {
	return xxhash.Sum64String(s.self + "/" + name)
}
