package sheet

import "maps"

// Removal names the rows that a merge removes.
type Removal struct {
	Routes   []string `json:"routes,omitempty"`
	Services []string `json:"services,omitempty"`
	Tenants  []string `json:"tenants,omitempty"`
}

// Merge returns the sheet with rows added, or replaced by name, after others
// were removed; to remove a name that is absent has no effect. The result is
// not checked; the sheet itself, which may be nil, stays as it is.
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

// mergeRows returns the same map where nothing changes, otherwise a copy.
func mergeRows[V any](rows, upsert map[string]V, remove []string) map[string]V {
	if len(upsert) == 0 && len(remove) == 0 {
		return rows
	}
	merged := cloned(rows)
	for _, name := range remove {
		delete(merged, name)
	}
	maps.Copy(merged, upsert)
	return merged
}

// cloned returns a copy of a table that may be written; of nil, an empty one.
func cloned[V any](rows map[string]V) map[string]V {
	if rows == nil {
		return make(map[string]V)
	}
	return maps.Clone(rows)
}
