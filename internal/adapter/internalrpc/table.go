package internalrpc

import (
	"slices"
	"strings"

	"stepwick/internal/port"
	"stepwick/internal/wire"
)

// table is an immutable view of the known processes, kept in the orders in which
// it is read so that readers neither sort nor copy.
type table struct {
	sights    []port.KnownProcess // by name
	processes []*wire.Process     // by name
	cores     []*wire.Process     // those with a disk, by name
	others    []*wire.Process     // the rest, by name
}

// newTable returns the table of some sights, which are in the order of their names.
func newTable(sights []port.KnownProcess) *table {
	t := &table{sights: sights, processes: make([]*wire.Process, 0, len(sights)), others: make([]*wire.Process, 0, len(sights))}
	for _, s := range sights {
		t.processes = append(t.processes, s.Process)
		if s.Process.Core {
			t.cores = append(t.cores, s.Process)
		} else {
			t.others = append(t.others, s.Process)
		}
	}
	return t
}

// find returns the sight of a process.
func (t *table) find(name string) (port.KnownProcess, bool) {
	at, found := place(t.sights, name)
	if !found {
		return port.KnownProcess{}, false
	}
	return t.sights[at], true
}

// place returns where a process is among sights by name, or where it belongs.
func place(sights []port.KnownProcess, name string) (at int, found bool) {
	return slices.BinarySearchFunc(sights, name, func(s port.KnownProcess, name string) int {
		return strings.Compare(s.Process.Name, name)
	})
}

// edit returns changes to the table that cost nothing until there is one.
func (t *table) edit() *edit { return &edit{base: t} }

// edit gathers changes to a table, which is copied at the first of them.
type edit struct {
	base *table
	next []port.KnownProcess // nil while nothing has changed
}

func (e *edit) sights() []port.KnownProcess {
	if e.next != nil {
		return e.next
	}
	return e.base.sights
}

func (e *edit) get(name string) (port.KnownProcess, bool) {
	at, found := place(e.sights(), name)
	if !found {
		return port.KnownProcess{}, false
	}
	return e.sights()[at], true
}

func (e *edit) put(s port.KnownProcess) {
	e.copy()
	at, found := place(e.next, s.Process.Name)
	if found {
		e.next[at] = s
		return
	}
	e.next = slices.Insert(e.next, at, s)
}

// forget drops the sights for which gone holds.
func (e *edit) forget(gone func(port.KnownProcess) bool) {
	if !slices.ContainsFunc(e.sights(), gone) {
		return
	}
	e.copy()
	e.next = slices.DeleteFunc(e.next, gone)
}

func (e *edit) copy() {
	if e.next == nil {
		e.next = append(make([]port.KnownProcess, 0, len(e.base.sights)+1), e.base.sights...)
	}
}

// done returns the table with the changes; the same one when there is none.
func (e *edit) done() *table {
	if e.next == nil {
		return e.base
	}
	return newTable(e.next)
}
