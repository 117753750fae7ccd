// Package faultproxy carries every link between processes, so that any directed
// link can be cut, slowed or reset. The dialler is known by the address it
// binds.
package faultproxy

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"stepwick/cmd/rig/owner"
)

// Mode is how a directed link behaves.
type Mode struct {
	Silent bool          // bytes wait until the link heals; new connections hang
	Reset  bool          // connections are reset
	Delay  time.Duration // each piece of data waits this long
}

// Links says how each directed link (from, to: names) behaves. Published as a
// whole, read without waiting.
type Links struct {
	table   atomic.Pointer[table]
	owner   *owner.Owner[map[[2]string]Mode]
	sources atomic.Pointer[map[string]string] // ip -> name
}

type table struct {
	modes   map[[2]string]Mode
	changed chan struct{}
}

// NewLinks returns links that all pass.
func NewLinks() *Links {
	l := &Links{owner: owner.New(map[[2]string]Mode{})}
	l.table.Store(&table{modes: map[[2]string]Mode{}, changed: make(chan struct{})})
	l.sources.Store(&map[string]string{})
	return l
}

// Names tells which name dials from which address.
func (l *Links) Names(byIP map[string]string) { l.sources.Store(&byIP) }

// Set gives links their modes at one instant; a zero mode passes.
func (l *Links) Set(links map[[2]string]Mode) {
	l.owner.Do(func(all *map[[2]string]Mode) {
		next := make(map[[2]string]Mode, len(*all)+len(links))
		for k, m := range *all {
			next[k] = m
		}
		for k, m := range links {
			if m == (Mode{}) {
				delete(next, k)
			} else {
				next[k] = m
			}
		}
		*all = next
		before := l.table.Swap(&table{modes: next, changed: make(chan struct{})})
		close(before.changed)
	})
}

// Heal lets all links pass.
func (l *Links) Heal() {
	l.owner.Do(func(all *map[[2]string]Mode) {
		*all = map[[2]string]Mode{}
		before := l.table.Swap(&table{modes: *all, changed: make(chan struct{})})
		close(before.changed)
	})
}

// Between gives both directions between two groups of names one mode.
func (l *Links) Between(left, right []string, mode Mode) {
	set := map[[2]string]Mode{}
	for _, a := range left {
		for _, b := range right {
			if a != b {
				set[[2]string{a, b}] = mode
				set[[2]string{b, a}] = mode
			}
		}
	}
	l.Set(set)
}

func (l *Links) look(from, to string) (Mode, <-chan struct{}) {
	t := l.table.Load()
	if m, ok := t.modes[[2]string{from, to}]; ok {
		return m, t.changed
	}
	return t.modes[[2]string{"*", to}], t.changed
}

func (l *Links) source(addr net.Addr) string {
	if tcp, ok := addr.(*net.TCPAddr); ok {
		return (*l.sources.Load())[tcp.IP.String()]
	}
	return ""
}

// Relay carries connections to one target. It refuses connections while shut.
type Relay struct {
	Name    string
	Address string
	target  string
	links   *Links
	state   *owner.Owner[state]
}

type state struct {
	listener net.Listener
	cancel   context.CancelFunc
	carried  *sync.WaitGroup // the connections that stand, and the accepting of more
}

// New returns a relay that is shut.
func New(name, address, target string, links *Links) *Relay {
	return &Relay{Name: name, Address: address, target: target, links: links, state: owner.New(state{})}
}

// Open begins to listen.
func (r *Relay) Open() error {
	var err error
	r.state.Do(func(s *state) {
		if s.listener != nil {
			return
		}
		var l net.Listener
		if l, err = net.Listen("tcp4", r.Address); err != nil {
			return
		}
		ctx, cancel := context.WithCancel(context.Background())
		s.listener, s.cancel, s.carried = l, cancel, &sync.WaitGroup{}
		carried := s.carried
		carried.Go(func() { r.accept(ctx, l, carried) })
	})
	return errors.Wrapf(err, "relay to %s", r.Name)
}

// Shut stops listening, so that connections are refused, and resets those that
// stand. When it returns none stands any more.
func (r *Relay) Shut() {
	var carried *sync.WaitGroup
	r.state.Do(func(s *state) {
		if s.listener == nil {
			return
		}
		s.listener.Close()
		s.cancel()
		s.listener, carried = nil, s.carried
	})
	if carried != nil {
		carried.Wait()
	}
}

// Close shuts the relay for good.
func (r *Relay) Close() { r.Shut(); r.state.Close() }

func (r *Relay) accept(ctx context.Context, l net.Listener, carried *sync.WaitGroup) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		carried.Go(func() { r.carry(ctx, conn.(*net.TCPConn)) })
	}
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// pass waits until data may go; false when the connection must be reset.
func (r *Relay) pass(ctx context.Context, from, to string) bool {
	for {
		mode, changed := r.links.look(from, to)
		if mode.Reset {
			return false
		}
		if mode.Silent {
			select {
			case <-changed:
				continue
			case <-ctx.Done():
				return false
			}
		}
		return mode.Delay == 0 || owner.Sleep(ctx, mode.Delay)
	}
}

func (r *Relay) carry(outer context.Context, near *net.TCPConn) {
	ctx, cancel := context.WithCancel(outer)
	defer cancel()
	from := r.links.source(near.RemoteAddr())
	if !r.pass(ctx, from, r.Name) {
		reset(near)
		return
	}
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp4", r.target)
	if err != nil {
		reset(near)
		return
	}
	far := c.(*net.TCPConn)
	stop := context.AfterFunc(ctx, func() { reset(near); reset(far) })
	defer stop()
	ends := make(chan bool, 2)
	go r.pump(ctx, near, far, from, r.Name, ends)
	go r.pump(ctx, far, near, r.Name, from, ends)
	whole := <-ends
	if whole {
		whole = <-ends
	}
	if !whole {
		cancel()
		reset(near)
		reset(far)
		return
	}
	near.Close()
	far.Close()
}

// pump copies one direction and sends whether it ended cleanly.
func (r *Relay) pump(ctx context.Context, in, out *net.TCPConn, from, to string, ends chan<- bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := in.Read(buf)
		if n > 0 {
			if !r.pass(ctx, from, to) {
				ends <- false
				return
			}
			if _, werr := out.Write(buf[:n]); werr != nil {
				ends <- false
				return
			}
		}
		if err != nil {
			clean := err.Error() == "EOF" && r.pass(ctx, from, to)
			if clean {
				_ = out.CloseWrite()
			}
			ends <- clean
			return
		}
	}
}
