package internalrpc

import (
	"maps"
	"slices"
	"strings"

	"stepwick/internal/port"
	"stepwick/internal/wire"
)

// table is an immutable view of the known processes, kept in the orders in which
// it is read so that readers neither sort nor copy.
type table struct {
	byName    map[string]port.Sight
	sights    []port.Sight    // by name
	processes []*wire.Process // by name
	cores     []*wire.Process // those with a disk, by name
	others    []*wire.Process // the rest, by name
}

func newTable(byName map[string]port.Sight) *table {
	t := &table{byName: byName, sights: slices.Collect(maps.Values(byName))}
	slices.SortFunc(t.sights, func(a, b port.Sight) int { return strings.Compare(a.Process.Name, b.Process.Name) })
	for _, s := range t.sights {
		t.processes = append(t.processes, s.Process)
		if s.Process.Core {
			t.cores = append(t.cores, s.Process)
		} else {
			t.others = append(t.others, s.Process)
		}
	}
	return t
}

// edit returns changes to the table that cost nothing until there is one.
func (t *table) edit() *edit { return &edit{base: t} }

// edit gathers changes to a table, which is copied at the first of them.
type edit struct {
	base *table
	next map[string]port.Sight // nil while nothing has changed
}

func (e *edit) get(name string) (port.Sight, bool) {
	if e.next != nil {
		s, ok := e.next[name]
		return s, ok
	}
	s, ok := e.base.byName[name]
	return s, ok
}

func (e *edit) put(s port.Sight) { e.writable()[s.Process.Name] = s }

func (e *edit) drop(name string) { delete(e.writable(), name) }

func (e *edit) writable() map[string]port.Sight {
	if e.next == nil {
		e.next = maps.Clone(e.base.byName)
	}
	return e.next
}

// done returns the table with the changes; the same one when there is none.
func (e *edit) done() *table {
	if e.next == nil {
		return e.base
	}
	return newTable(e.next)
}
