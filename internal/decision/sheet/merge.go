package sheet

import "maps"

// Removal lists the names of the rows that a merge removes.
type Removal struct {
	Routes   []string `json:"routes,omitempty"`
	Services []string `json:"services,omitempty"`
	Tenants  []string `json:"tenants,omitempty"`
}

// Merge returns a copy of the sheet without the rows of remove and with the rows
// of upsert added, or replaced by name. Removals come first; names that do not
// exist are ignored. The result is not checked. The receiver may be nil and is
// not modified.
func (s *Sheet) Merge(upsert *Sheet, remove Removal) *Sheet {
	merged := Sheet{}
	if s != nil {
		merged = *s
	}
	if upsert == nil {
		upsert = &Sheet{}
	}
	merged.Routes = mergeRows(merged.Routes, upsert.Routes, remove.Routes)
	merged.Services = mergeRows(merged.Services, upsert.Services, remove.Services)
	merged.Tenants = mergeRows(merged.Tenants, upsert.Tenants, remove.Tenants)
	merged.Weights = mergeRows(merged.Weights, upsert.Weights, nil)
	merged.Settings = mergeRows(merged.Settings, upsert.Settings, nil)
	if upsert.Limits != nil {
		merged.Limits = upsert.Limits
	}
	if upsert.Origin != nil {
		merged.Origin = upsert.Origin
	}
	return &merged
}

// mergeRows returns the same map if nothing changes, otherwise a modified copy.
func mergeRows[V any](rows, upsert map[string]V, remove []string) map[string]V {
	if len(upsert) == 0 && len(remove) == 0 {
		return rows
	}
	merged := cloneOrNew(rows)
	for _, name := range remove {
		delete(merged, name)
	}
	maps.Copy(merged, upsert)
	return merged
}

// cloneOrNew returns a writable copy of a table, or a new table for nil.
func cloneOrNew[V any](rows map[string]V) map[string]V {
	if rows == nil {
		return make(map[string]V)
	}
	return maps.Clone(rows)
}
