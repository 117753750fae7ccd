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

// The names of the voting cores outlive the machines that they run on. A core with
// an empty disk that is none of them may take over the name of one that failed. It
// then joins as that core would after it lost its disk: as a later incarnation of the
// disk, against which nothing counts that the earlier holder of the name still
// sends. An earlier holder that comes back learns of the later incarnation, empties
// its data folder and becomes a standby.

const (
	searchInterval = 100 * time.Millisecond
	// idleSearchInterval is the interval while every voting core answers.
	idleSearchInterval = 500 * time.Millisecond
	searchHelloTimeout = 400 * time.Millisecond
	// soloStartDelay is how long a core that finds no voting cores waits before it
	// starts under its own name.
	soloStartDelay = 2 * time.Second
)

// chooseCoreName returns the name under which a core is to run: the one that it took
// over before, its own where that is a voting core's or there are none yet, or that
// of a failed voting core, for which it waits. It returns the context's error when
// that ends first.
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

// replacementSearch looks for a voting core that failed and can be replaced.
type replacementSearch struct {
	self            string
	address         string
	seeds           []string
	failedAfter     time.Duration
	pool            *internalrpc.Pool
	clock           clock.Clock
	log             events.Log
	unansweredSince map[string]time.Time // by voting core
}

// run searches until there is a name for this core to run under.
func (s *replacementSearch) run(ctx context.Context) (string, error) {
	startedAt := s.clock.Now()
	isLogged := false
	for {
		cores := s.discoverCores(ctx)
		voters := votersOf(cores)
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

// discoveredCore is what is known of a core.
type discoveredCore struct {
	process  *wire.Process
	answered bool // itself; what others report of it otherwise
}

// discoverCores sends hellos to the seeds and to the cores that their answers name,
// and returns what is known of each core by its name.
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

// addCore adds a process to the cores if it is one. A record that the core itself
// answered replaces those of others.
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

// sendHellos sends a hello to each address and returns the answers.
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

// votersOf returns the names of the voting cores as one that answered reports them,
// or nil.
func votersOf(cores map[string]*discoveredCore) []string {
	for _, name := range slices.Sorted(maps.Keys(cores)) {
		if core := cores[name]; core.answered && len(core.process.Voters) > 0 {
			return core.process.Voters
		}
	}
	return nil
}

// failedVoter returns the name of a voting core that has not answered for long
// enough, while so many others answer that a lost disk can be recovered from them. Of
// several such names each searching core prefers another one, so that two of them
// seldom take the same.
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

// preference returns a weight of a name that differs between searching cores.
func (s *replacementSearch) preference(name string) uint64 {
	return xxhash.Sum64String(s.self + "/" + name)
}
