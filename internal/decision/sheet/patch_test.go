package sheet

import (
	"encoding/json"
	"testing"

	"pgregory.net/rapid"
)

func TestPatchChecksChangedTenants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := sampleSheet()
		var changes []Change
		for _, name := range rapid.SliceOfN(rapid.SampledFrom([]string{"press", "city", "tram"}), 1, 3).Draw(t, "tenants") {
			keys := rapid.SliceOfN(rapid.SampledFrom([]string{hashOf("press-1"), hashOf("city-1"), hashOf("new"), "bad"}), 0, 2).Draw(t, "keys")
			row := mustEncode(map[string]any{"rate": rapid.SampledFrom([]float64{5, -1}).Draw(t, "rate"), "keys": keys})
			changes = append(changes, Change{Path: "tenants." + name, Value: json.RawMessage(row)})
		}
		edited := *base
		edited.Tenants = cloned(base.Tenants)
		e := editor{sheet: edited, copiedTables: map[string]bool{tableTenants: true}, copiedWeights: map[string]bool{},
			changedTenants: map[string]bool{}, seen: map[string]bool{}}
		twice := ""
		for _, change := range changes {
			twice += e.apply(change)
		}
		sound := twice == "" && e.sheet.Check() == nil
		if _, apiErr := base.Patch(changes); (apiErr == nil) != sound {
			t.Fatalf("a patch gave %v; the check of the full sheet gave %v", apiErr, e.sheet.Check())
		}
	})
}
