package front

import (
	"sync/atomic"

	"stepwick/internal/core/sheet"
	"stepwick/internal/kernel"
	"stepwick/internal/stage"
)

const (
	keeperEvery = 200 * kernel.Millisecond
	keeperBound = 1024
)

// keeper owns the set of running calls. It cuts those whose key is revoked by
// a new epoch, all of them once the node has not ruled for a while, and what
// is left at the end of a drain.
type keeper struct {
	views    Views
	clock    kernel.Clock
	cutAfter kernel.Duration
	started  kernel.Time
	ruled    atomic.Int64 // when ruling was last seen, since started
	moves    *stage.Queue[move]
	drains   chan drain
	ended    chan struct{}
	running  map[*running]struct{}
	waiting  []drain
}

// move is a call that enters or leaves; one queue keeps their order.
type move struct {
	call  *running
	enter bool
}

type drain struct {
	empty chan struct{}
	cut   <-chan struct{}
}

// running is one call that was let in.
type running struct {
	key    string
	tenant string
	index  atomic.Pointer[sheet.Index] // the one that last knew the key
	cancel kernel.Cancel
	fault  atomic.Pointer[kernel.Fault]
}

func newKeeper(views Views, clock kernel.Clock, cutAfter kernel.Duration, over chan struct{}) *keeper {
	return &keeper{views: views, clock: clock, cutAfter: cutAfter, started: clock.Now(), moves: stage.NewQueue[move](keeperBound),
		drains: make(chan drain), ended: over, running: map[*running]struct{}{}}
}

// enter lets a call run under a context that ends when the call is cut.
func (k *keeper) enter(ctx kernel.Context, call *running) kernel.Context {
	ctx, call.cancel = kernel.WithCancel(ctx)
	k.move(move{call, true})
	return ctx
}

func (k *keeper) leave(call *running) {
	call.cancel()
	k.move(move{call, false})
}

func (k *keeper) move(m move) {
	select {
	case k.moves.In() <- m:
	case <-k.ended:
	}
}

// stands tells whether a call may go on at this moment; nil if so.
func (k *keeper) stands(call *running) *kernel.Fault {
	if fault := call.fault.Load(); fault != nil {
		return fault
	}
	return k.judge(call)
}

func (k *keeper) judge(call *running) *kernel.Fault {
	if !k.views.Ruling() {
		if k.clock.Now().Sub(k.started)-kernel.Duration(k.ruled.Load()) < k.cutAfter {
			return nil
		}
		return kernel.Refuse(kernel.NotRuling, "the node lost touch while the call ran").After(kernel.Second)
	}
	k.ruled.Store(int64(k.clock.Now().Sub(k.started)))
	index := k.views.View().Index
	if index == call.index.Load() {
		return nil
	}
	if tenant, _, known := tenantOf(index, call.key); !known || tenant != call.tenant {
		return kernel.Refuse(kernel.KeyRevoked, "the sheet in force no longer has the key")
	}
	call.index.Store(index)
	return nil
}

// Serve owns the running calls until the context ends.
func (k *keeper) Serve(ctx kernel.Context) error {
	ticker := k.clock.Ticker(keeperEvery)
	defer ticker.Stop()
	for {
		changed := k.views.Changed()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-k.moves.Items():
			k.take(m)
		case ask := <-k.drains:
			k.waiting = append(k.waiting, ask)
		case <-changed:
			k.checkAll()
		case <-ticker.C():
			k.checkAll()
		}
		k.answer()
	}
}

func (k *keeper) String() string { return "keeper" }

func (k *keeper) take(m move) {
	if !m.enter {
		delete(k.running, m.call)
		return
	}
	k.running[m.call] = struct{}{}
	k.check(m.call)
}

func (k *keeper) checkAll() {
	if k.views.Ruling() {
		k.ruled.Store(int64(k.clock.Now().Sub(k.started)))
	}
	for call := range k.running {
		k.check(call)
	}
}

func (k *keeper) check(call *running) {
	if fault := k.judge(call); fault != nil {
		k.cut(call, fault)
	}
}

func (k *keeper) cut(call *running, fault *kernel.Fault) {
	if call.fault.CompareAndSwap(nil, fault) {
		call.cancel()
	}
}

func (k *keeper) answer() {
	kept := k.waiting[:0]
	for _, ask := range k.waiting {
		if len(k.running) == 0 && k.moves.Len() == 0 {
			close(ask.empty)
			continue
		}
		select {
		case <-ask.cut:
			for call := range k.running {
				k.cut(call, kernel.Refuse(kernel.FrontLeaving, "the node is being taken away").After(kernel.Second))
			}
		default:
		}
		kept = append(kept, ask)
	}
	k.waiting = kept
}

func (k *keeper) drain(ctx kernel.Context) error {
	cut := make(chan struct{})
	ask := drain{empty: make(chan struct{}), cut: cut}
	select {
	case k.drains <- ask:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-ask.empty:
		return nil
	case <-ctx.Done():
	}
	close(cut)
	<-k.clock.After(2 * keeperEvery)
	return ctx.Err()
}
