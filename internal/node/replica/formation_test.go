package replica

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"

	"stepwick/internal/clock"
	"stepwick/internal/events"
	"stepwick/internal/port"
	"stepwick/internal/wire"
	"stepwick/internal/wire/wireconnect"
)

// slowProbePeers answer the probes of a core after a while, by the formation a-1.
type slowProbePeers struct{ peers }

func (p slowProbePeers) Client(string) wireconnect.PeerClient { return slowProbeClient{} }

type slowProbeClient struct{ wireconnect.PeerClient }

const probeDelay = 100 * time.Millisecond

func (slowProbeClient) Recover(context.Context, *connect.Request[wire.RecoverRequest]) (*connect.Response[wire.RecoverResponse], error) {
	<-time.After(probeDelay)
	return connect.NewResponse(&wire.RecoverResponse{Ok: true, Formation: "a-1", Voters: []string{"a", "b", "c"}}), nil
}

// Guards against a core that leaves, by an answer to an earlier probe, the formation that
// it was invited into meanwhile.
func TestLateProbeAnswerUndoesNoJoin(t *testing.T) {
	inVirtualTime(t, "an invitation comes while a probe is under way", func(f *fleet) {
		blank := New(Config{Self: "b"}, OnDisk(f.disk["b"]), slowProbePeers{peers{f, "b"}}, clock.System(), events.Discard)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = blank.Serve(ctx)
		}()
		<-time.After(probeDelay / 2)
		joined, err := blank.Found(ctx, &wire.FoundRequest{Formation: "b-1", Voters: []string{"b", "c", "d"}, Founder: "c"})
		if err != nil || !joined.Joined {
			t.Fatalf("not invited: %v, %v", joined, err)
		}
		<-time.After(probeDelay)
		probe, err := blank.Recover(ctx, &wire.RecoverRequest{Core: "c", Probe: true})
		if err != nil {
			t.Fatal(err)
		}
		if probe.Formation != "b-1" {
			t.Errorf("in the formation %s after it joined b-1", probe.Formation)
		}
		cancel()
		<-ended
	})
}

const (
	foundingCores  = 6
	foundingVoters = 5
	// discoveryDelay is the longest time until a core is known to another one, and
	// foundingDelay until a call arrives or its answer does.
	discoveryDelay = 300 * time.Millisecond
	foundingDelay  = 60 * time.Millisecond
	foundingSeeds  = 30
)

// foundingFleet are cores that discover each other and call each other with random
// delays.
type foundingFleet struct {
	cores   []*Replica
	random  chan time.Duration // random delays
	knownAt [foundingCores][foundingCores]time.Time
	founded atomic.Int32
	// excluded are the cores that learned that they have no place in the formation.
	excluded [foundingCores]atomic.Bool
}

func foundingName(index int) string { return fmt.Sprintf("n%d", index) }

type foundingPeers struct {
	fleet *foundingFleet
	self  int
}

func (p foundingPeers) Process(name string) (*wire.Process, bool) {
	return &wire.Process{Name: name, Address: name, Core: true}, true
}

func (p foundingPeers) Processes() (known []*wire.Process) {
	for index := range foundingCores {
		if !time.Now().Before(p.fleet.knownAt[p.self][index]) {
			known = append(known, &wire.Process{Name: foundingName(index), Address: foundingName(index), Core: true})
		}
	}
	return known
}

func (p foundingPeers) Cores() []*wire.Process { return port.CoresOf(p.Processes()) }

func (p foundingPeers) Client(address string) wireconnect.PeerClient {
	for index, core := range p.fleet.cores {
		if foundingName(index) == address {
			return foundingClient{fleet: p.fleet, core: core}
		}
	}
	return nil
}

type foundingClient struct {
	wireconnect.PeerClient
	fleet *foundingFleet
	core  *Replica
}

func delayed[Q, A any](ctx context.Context, c foundingClient, req *connect.Request[Q], call func(context.Context, *Q) (*A, error)) (*connect.Response[A], error) {
	<-time.After(<-c.fleet.random)
	answer, err := call(ctx, req.Msg)
	<-time.After(<-c.fleet.random)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(answer), nil
}

func (c foundingClient) Found(ctx context.Context, req *connect.Request[wire.FoundRequest]) (*connect.Response[wire.FoundResponse], error) {
	return delayed(ctx, c, req, c.core.Found)
}

func (c foundingClient) Recover(ctx context.Context, req *connect.Request[wire.RecoverRequest]) (*connect.Response[wire.RecoverResponse], error) {
	return delayed(ctx, c, req, c.core.Recover)
}

func (c foundingClient) Read(ctx context.Context, req *connect.Request[wire.ReadRequest]) (*connect.Response[wire.ReadResponse], error) {
	return delayed(ctx, c, req, c.core.Read)
}

// start draws the delays and starts the cores; it returns the function that ends them.
func (f *foundingFleet) start(t *testing.T, seed uint64, disks *fleet) (stop func()) {
	random := rand.New(rand.NewPCG(seed, 1))
	for from := range foundingCores {
		for to := range foundingCores {
			f.knownAt[from][to] = time.Now().Add(time.Duration(random.Int64N(int64(discoveryDelay))))
		}
		// The core of the lowest name is known last, so that two found a formation.
		f.knownAt[from][0] = f.knownAt[from][0].Add(discoveryDelay)
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.random = make(chan time.Duration)
	go func() {
		for ctx.Err() == nil {
			select {
			case f.random <- time.Duration(random.Int64N(int64(foundingDelay))):
			case <-ctx.Done():
			}
		}
		close(f.random)
	}()
	log := foundingLog{f}
	for index := range foundingCores {
		name := foundingName(index)
		disk := disks.disk["a"]
		disk.Folder = t.TempDir()
		f.cores = append(f.cores, New(Config{Self: name, Voters: foundingVoters, OnReplaced: func() { f.excluded[index].Store(true) }}, OnDisk(disk), foundingPeers{f, index}, clock.System(), log))
	}
	ended := make(chan struct{})
	for _, core := range f.cores {
		go func() {
			_ = core.Serve(ctx)
			ended <- struct{}{}
		}()
	}
	return func() {
		cancel()
		for range f.cores {
			<-ended
		}
		// Calls under way end with their delays.
		<-time.After(time.Second)
	}
}

// foundingLog counts the formations that were founded.
type foundingLog struct{ fleet *foundingFleet }

func (l foundingLog) Emit(event events.Event, _ ...any) {
	if event.Name == events.FormationStarted.Name {
		l.fleet.founded.Add(1)
	}
}

func (f *foundingFleet) voting() (count int) {
	for _, core := range f.cores {
		if core.Standing() == wire.Standing_STANDING_VOTING {
			count++
		}
	}
	return count
}

// hasSpare reports whether a core that doesn't vote knows that it may become a standby.
func (f *foundingFleet) hasSpare() bool {
	for index, core := range f.cores {
		if f.excluded[index].Load() && core.Standing() != wire.Standing_STANDING_VOTING {
			return true
		}
	}
	return false
}

// Guards against a core that waits for ever in a formation that lost to another one,
// and so never becomes a standby.
func TestTwoFoundersLeaveOneFormation(t *testing.T) {
	twice := 0
	for seed := uint64(1); seed <= foundingSeeds; seed++ {
		inVirtualTime(t, fmt.Sprint("seed ", seed), func(disks *fleet) {
			f := &foundingFleet{}
			stop := f.start(t, seed, disks)
			formed := disks.until(30*time.Second, func() bool { return f.voting() == foundingVoters && f.hasSpare() })
			if f.founded.Load() > 1 {
				twice++
			}
			if !formed {
				t.Errorf("%d of %d cores vote after 30 s, with a spare %v; %d formations were founded", f.voting(), foundingVoters, f.hasSpare(), f.founded.Load())
			}
			stop()
		})
	}
	if twice == 0 {
		t.Error("no seed has two founders")
	}
	t.Logf("%d of %d seeds have two founders", twice, foundingSeeds)
}
