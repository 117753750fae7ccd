package front

import (
	"context"
	"sync/atomic"
	"time"

	"stepwick/internal/apierror"
	"stepwick/internal/clock"
	"stepwick/internal/decision/sheet"
	"stepwick/internal/stage"
)

const (
	keeperEvery = 200 * time.Millisecond
	keeperBound = 1024
)

// keeper owns the set of running calls. It cuts those whose key is revoked by
// a new version, all of them once the node has not ruled for a while, and what
// is left at the end of a drain.
type keeper struct {
	views    Views
	clock    clock.Clock
	cutAfter time.Duration
	started  time.Time
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
	cancel context.CancelFunc
	fault  atomic.Pointer[apierror.Error]
}

func newKeeper(views Views, clock clock.Clock, cutAfter time.Duration, over chan struct{}) *keeper {
	return &keeper{views: views, clock: clock, cutAfter: cutAfter, started: clock.Now(), moves: stage.NewQueue[move](keeperBound),
		drains: make(chan drain), ended: over, running: map[*running]struct{}{}}
}

// enter lets a call run under a context that ends when the call is cut.
func (k *keeper) enter(ctx context.Context, call *running) context.Context {
	ctx, call.cancel = context.WithCancel(ctx)
	k.move(move{call, true})
	return ctx
}

func (k *keeper) leave(call *running) {
	call.cancel()
	k.move(move{call, false})
}

func (k *keeper) move(m move) {
	select {
	case k.moves.Input() <- m:
	case <-k.ended:
	}
}

// stands tells whether a call may go on at this moment; nil if so.
func (k *keeper) stands(call *running) *apierror.Error {
	if apiErr := call.fault.Load(); apiErr != nil {
		return apiErr
	}
	return k.judge(call)
}

func (k *keeper) judge(call *running) *apierror.Error {
	if !k.views.HasAuthority() {
		if k.clock.Now().Sub(k.started)-time.Duration(k.ruled.Load()) < k.cutAfter {
			return nil
		}
		return apierror.Errorf(apierror.NotRuling, "the node lost touch while the call ran").WithRetryAfter(time.Second)
	}
	k.ruled.Store(int64(k.clock.Now().Sub(k.started)))
	index := k.views.View().Index
	if index == call.index.Load() {
		return nil
	}
	if tenant, _, known := tenantOf(index, call.key); !known || tenant != call.tenant {
		return apierror.Errorf(apierror.KeyRevoked, "the sheet in force no longer has the key")
	}
	call.index.Store(index)
	return nil
}

// Serve owns the running calls until the context ends.
func (k *keeper) Serve(ctx context.Context) error {
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
	if k.views.HasAuthority() {
		k.ruled.Store(int64(k.clock.Now().Sub(k.started)))
	}
	for call := range k.running {
		k.check(call)
	}
}

func (k *keeper) check(call *running) {
	if apiErr := k.judge(call); apiErr != nil {
		k.cut(call, apiErr)
	}
}

func (k *keeper) cut(call *running, apiErr *apierror.Error) {
	if call.fault.CompareAndSwap(nil, apiErr) {
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
				k.cut(call, apierror.Errorf(apierror.FrontLeaving, "the node is being taken away").WithRetryAfter(time.Second))
			}
		default:
		}
		kept = append(kept, ask)
	}
	k.waiting = kept
}

func (k *keeper) drain(ctx context.Context) error {
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
