package control_test

import (
	"context"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/statemachine"
	"stepwick/internal/wire"
)

// agreed is the state of the fleet and the commands that led to it.
type agreed struct {
	state   statemachine.State
	chosen  []*wire.Chosen
	changed chan struct{}
}

// atomicReplica is a replica of which all cores share one state: a proposal is a
// compare-and-swap.
type atomicReplica struct{ f *fleet }

func (b atomicReplica) Propose(ctx context.Context, command []byte) (uint64, statemachine.Result, error) {
	if b.f.majorityLost.Load() {
		<-ctx.Done()
		return 0, statemachine.Result{}, ctx.Err()
	}
	for {
		old := b.f.agreed.Load()
		version := old.state.Version + 1
		state, result := old.state.Step(version, command)
		next := &agreed{state: state, changed: make(chan struct{})}
		next.chosen = append(append(next.chosen, old.chosen...), &wire.Chosen{Epoch: version, Command: command})
		if b.f.agreed.CompareAndSwap(old, next) {
			close(old.changed)
			return version, result, nil
		}
	}
}

func (b atomicReplica) ReadMajority(ctx context.Context) (statemachine.State, error) {
	if b.f.majorityLost.Load() {
		<-ctx.Done()
		return statemachine.State{}, apierror.Errorf(apierror.NoMajority, "1 of 3 cores answered")
	}
	return b.f.agreed.Load().state, nil
}

func (b atomicReplica) Read(context.Context, *wire.ReadRequest) (*wire.ReadResponse, error) {
	version := b.f.agreed.Load().state.Version
	return &wire.ReadResponse{Learned: version, Highest: version}, nil
}

func (b atomicReplica) CommandsAfter(after uint64) ([]*wire.Chosen, bool) {
	return b.f.agreed.Load().chosen[after:], true
}
func (b atomicReplica) Current() statemachine.State { return b.f.agreed.Load().state }
func (b atomicReplica) Changed() <-chan struct{}    { return b.f.agreed.Load().changed }
func (b atomicReplica) Standing() wire.Standing     { return wire.Standing_STANDING_VOTING }
func (b atomicReplica) Voters() []string            { return voters }
func (b atomicReplica) Formation() string           { return "formation" }
