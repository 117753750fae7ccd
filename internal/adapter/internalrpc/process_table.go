package internalrpc

import (
	"slices"
	"strings"

	"stepwick/internal/port"
	"stepwick/internal/wire"
)

// processTable is an immutable table of the known processes. It holds them in each form
// that readers need, so that readers neither sort nor copy.
type processTable struct {
	entries   []port.KnownProcess // sorted by name
	processes []*wire.Process     // sorted by name
	cores     []*wire.Process     // sorted by name
	fronts    []*wire.Process     // processes that aren't cores, sorted by name
}

// newProcessTable returns a table of entries, which must be sorted by name.
func newProcessTable(entries []port.KnownProcess) *processTable {
	t := &processTable{
		entries:   entries,
		processes: make([]*wire.Process, 0, len(entries)),
		fronts:    make([]*wire.Process, 0, len(entries)),
	}
	for _, entry := range entries {
		t.processes = append(t.processes, entry.Process)
		if entry.Process.Core {
			t.cores = append(t.cores, entry.Process)
		} else {
			t.fronts = append(t.fronts, entry.Process)
		}
	}
	return t
}

// find returns the entry of the named process.
func (t *processTable) find(name string) (port.KnownProcess, bool) {
	return findEntry(t.entries, name)
}

func (t *processTable) edit() *tableEdit { return &tableEdit{base: t} }

// tableEdit collects changes to a table. It copies the entries on the first change, so an
// edit without changes is free.
type tableEdit struct {
	base    *processTable
	changed []port.KnownProcess // nil until the first change
}

func (e *tableEdit) entries() []port.KnownProcess {
	if e.changed != nil {
		return e.changed
	}
	return e.base.entries
}

// find returns the entry of the named process.
func (e *tableEdit) find(name string) (port.KnownProcess, bool) {
	return findEntry(e.entries(), name)
}

// put inserts an entry or replaces that of the same process.
func (e *tableEdit) put(entry port.KnownProcess) {
	e.copyBase()
	index, found := searchEntries(e.changed, entry.Process.Name)
	if found {
		e.changed[index] = entry
		return
	}
	e.changed = slices.Insert(e.changed, index, entry)
}

// removeFunc removes the entries for which remove returns true.
func (e *tableEdit) removeFunc(remove func(port.KnownProcess) bool) {
	if !slices.ContainsFunc(e.entries(), remove) {
		return
	}
	e.copyBase()
	e.changed = slices.DeleteFunc(e.changed, remove)
}

func (e *tableEdit) copyBase() {
	if e.changed == nil {
		e.changed = append(make([]port.KnownProcess, 0, len(e.base.entries)+1), e.base.entries...)
	}
}

// build returns a table with the changes, or the base table if there are none.
func (e *tableEdit) build() *processTable {
	if e.changed == nil {
		return e.base
	}
	return newProcessTable(e.changed)
}

// findEntry returns the named process's entry from entries sorted by name.
func findEntry(entries []port.KnownProcess, name string) (port.KnownProcess, bool) {
	index, found := searchEntries(entries, name)
	if !found {
		return port.KnownProcess{}, false
	}
	return entries[index], true
}

// searchEntries returns the index of the named process in entries sorted by name, or the
// index at which to insert it.
func searchEntries(entries []port.KnownProcess, name string) (index int, found bool) {
	return slices.BinarySearchFunc(entries, name, func(entry port.KnownProcess, name string) int {
		return strings.Compare(entry.Process.Name, name)
	})
}
