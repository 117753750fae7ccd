package faultproxy

import (
	"maps"
	"net"
	"sync/atomic"
	"time"

	"stepwick/cmd/rig/owner"
)

// anySource as a link's From matches every source that has no link of its own.
const anySource = "*"

// Link is one direction of traffic between two processes, identified by their names.
type Link struct {
	From string
	To   string
}

// Mode is the behavior of a link. The zero mode forwards all data unchanged.
type Mode struct {
	Blocked bool          // data waits until the mode changes; new connections hang
	Reset   bool          // connections are reset
	Delay   time.Duration // delay of each chunk of data
}

// Links holds the mode of each link. Each change replaces the table of modes atomically,
// so readers never block.
type Links struct {
	table   atomic.Pointer[table]
	owner   *owner.Owner[map[Link]Mode]
	sources atomic.Pointer[map[string]string] // name by IP address
}

// table is an immutable snapshot of all modes; changed is closed when a newer one
// replaces it.
type table struct {
	modes   map[Link]Mode
	changed chan struct{}
}

func newTable(modes map[Link]Mode) *table {
	return &table{
		modes:   modes,
		changed: make(chan struct{}),
	}
}

// NewLinks returns links that all have the zero mode.
func NewLinks() *Links {
	links := &Links{owner: owner.New(map[Link]Mode{})}
	links.table.Store(newTable(map[Link]Mode{}))
	links.sources.Store(&map[string]string{})
	return links
}

// SetSources sets the name of the process that dials from each IP address.
func (l *Links) SetSources(nameByIP map[string]string) { l.sources.Store(&nameByIP) }

// Set changes the modes of links atomically; a zero mode removes the fault of a link.
func (l *Links) Set(changes map[Link]Mode) {
	l.owner.Do(func(modes *map[Link]Mode) {
		next := maps.Clone(*modes)
		for link, mode := range changes {
			if mode == (Mode{}) {
				delete(next, link)
			} else {
				next[link] = mode
			}
		}
		*modes = next
		l.publish(next)
	})
}

// Heal gives all links the zero mode.
func (l *Links) Heal() { l.Replace(map[Link]Mode{}) }

// Replace sets the modes of all links atomically; those not in modes get the zero mode.
func (l *Links) Replace(modes map[Link]Mode) {
	replacement := maps.Clone(modes)
	l.owner.Do(func(current *map[Link]Mode) {
		*current = replacement
		l.publish(replacement)
	})
}

func (l *Links) publish(modes map[Link]Mode) {
	previous := l.table.Swap(newTable(modes))
	close(previous.changed)
}

// SetBetween sets the mode of both directions between two groups of names.
func (l *Links) SetBetween(left, right []string, mode Mode) {
	changes := map[Link]Mode{}
	for _, a := range left {
		for _, b := range right {
			if a == b {
				continue
			}
			changes[Link{From: a, To: b}] = mode
			changes[Link{From: b, To: a}] = mode
		}
	}
	l.Set(changes)
}

// mode returns a link's mode and a channel that is closed when modes change.
func (l *Links) mode(from, to string) (Mode, <-chan struct{}) {
	current := l.table.Load()
	if mode, ok := current.modes[Link{From: from, To: to}]; ok {
		return mode, current.changed
	}
	return current.modes[Link{From: anySource, To: to}], current.changed
}

// sourceName returns the name of the process that dials from an address, or an empty string
// if the address is unknown.
func (l *Links) sourceName(address net.Addr) string {
	if tcp, ok := address.(*net.TCPAddr); ok {
		return (*l.sources.Load())[tcp.IP.String()]
	}
	return ""
}
