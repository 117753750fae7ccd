package sheet

import (
	"encoding/json"
	"testing"

	"pgregory.net/rapid"
)

// Patch checks only the tenants that it changes, so an invalid row or a key shared
// with an unchanged tenant could pass. It must accept exactly the patches after
// which Check accepts the whole sheet.
func TestPatchAgreesWithFullCheck(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := sampleSheet()
		var changes []Change
		for _, name := range rapid.SliceOfN(rapid.SampledFrom([]string{"press", "city", "tram"}), 1, 3).Draw(t, "tenants") {
			keys := rapid.SliceOfN(rapid.SampledFrom([]string{hashOf("press-1"), hashOf("city-1"), hashOf("new"), "bad"}), 0, 2).Draw(t, "keys")
			row := mustEncode(map[string]any{"rate": rapid.SampledFrom([]float64{5, -1}).Draw(t, "rate"), "keys": keys})
			changes = append(changes, Change{Path: "tenants." + name, Value: json.RawMessage(row)})
		}
		edited := *base
		edited.Tenants = cloneOrNew(base.Tenants)
		e := sheetEditor{sheet: edited, copiedTables: map[string]bool{tableTenants: true}, copiedWeights: map[string]bool{},
			changedTenants: map[string]bool{}, seen: map[string]bool{}}
		problems := ""
		for _, change := range changes {
			problems += e.apply(change)
		}
		valid := problems == "" && e.sheet.Check() == nil
		if _, apiErr := base.Patch(changes); (apiErr == nil) != valid {
			t.Fatalf("Patch returned %v; Check of the patched sheet returned %v", apiErr, e.sheet.Check())
		}
	})
}
