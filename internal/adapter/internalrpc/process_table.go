package internalrpc

import (
	"slices"
	"strings"

	"stepwick/internal/port"
	"stepwick/internal/wire"
)

// processTable is an immutable table of the known processes. It keeps them in the
// orders in which they are read, so that readers neither sort nor copy.
type processTable struct {
	known     []port.KnownProcess // by name
	processes []*wire.Process     // by name
	cores     []*wire.Process     // by name
	fronts    []*wire.Process     // those that aren't cores, by name
}

// newProcessTable returns the table of some processes, which are ordered by name.
func newProcessTable(known []port.KnownProcess) *processTable {
	t := &processTable{
		known:     known,
		processes: make([]*wire.Process, 0, len(known)),
		fronts:    make([]*wire.Process, 0, len(known)),
	}
	for _, entry := range known {
		t.processes = append(t.processes, entry.Process)
		if entry.Process.Core {
			t.cores = append(t.cores, entry.Process)
		} else {
			t.fronts = append(t.fronts, entry.Process)
		}
	}
	return t
}

// find returns the entry of a process.
func (t *processTable) find(name string) (port.KnownProcess, bool) {
	return find(t.known, name)
}

// edit returns an edit of the table.
func (t *processTable) edit() *tableEdit { return &tableEdit{base: t} }

// tableEdit collects changes to a table, which is copied at the first of them: an
// edit without a change costs nothing.
type tableEdit struct {
	base    *processTable
	changed []port.KnownProcess // nil while nothing has changed
}

func (e *tableEdit) known() []port.KnownProcess {
	if e.changed != nil {
		return e.changed
	}
	return e.base.known
}

// find returns the entry of a process.
func (e *tableEdit) find(name string) (port.KnownProcess, bool) {
	return find(e.known(), name)
}

// put adds an entry, or replaces that of the same process.
func (e *tableEdit) put(entry port.KnownProcess) {
	e.copyBase()
	index, found := search(e.changed, entry.Process.Name)
	if found {
		e.changed[index] = entry
		return
	}
	e.changed = slices.Insert(e.changed, index, entry)
}

// removeFunc removes the entries for which remove holds.
func (e *tableEdit) removeFunc(remove func(port.KnownProcess) bool) {
	if !slices.ContainsFunc(e.known(), remove) {
		return
	}
	e.copyBase()
	e.changed = slices.DeleteFunc(e.changed, remove)
}

func (e *tableEdit) copyBase() {
	if e.changed == nil {
		e.changed = append(make([]port.KnownProcess, 0, len(e.base.known)+1), e.base.known...)
	}
}

// table returns the table with the changes; the same one when there is none.
func (e *tableEdit) table() *processTable {
	if e.changed == nil {
		return e.base
	}
	return newProcessTable(e.changed)
}

// find returns the entry of a process among entries by name.
func find(known []port.KnownProcess, name string) (port.KnownProcess, bool) {
	index, found := search(known, name)
	if !found {
		return port.KnownProcess{}, false
	}
	return known[index], true
}

// search returns the index of a process among entries by name, or where it is to
// be inserted.
func search(known []port.KnownProcess, name string) (index int, found bool) {
	return slices.BinarySearchFunc(known, name, func(entry port.KnownProcess, name string) int {
		return strings.Compare(entry.Process.Name, name)
	})
}
