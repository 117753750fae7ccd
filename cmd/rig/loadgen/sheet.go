package loadgen

import (
	"fmt"

	"stepwick/cmd/rig/fleet"
	"stepwick/cmd/rig/history"
)

const (
	// checkedTenant is the tenant whose only key differs in each sheet, so that key checks
	// show which sheet a node uses.
	checkedTenant      = "probe"
	checkedTenantRate  = 50000
	checkedTenantBurst = 100000
)

// Sheet is the fleet's configuration document as sent by operators.
type Sheet struct {
	Services map[string]SheetService       `json:"services"`
	Weights  map[string]map[string]float64 `json:"weights"` // by service and region
	Tenants  map[string]SheetTenant        `json:"tenants"`
	Settings map[string]string             `json:"settings,omitempty"`
}

// SheetService is a service in the sheet.
type SheetService struct {
	Kind        string `json:"kind"`
	PlainTokens int    `json:"plain_tokens,omitempty"`
}

// SheetTenant is a tenant in the sheet.
type SheetTenant struct {
	Rate  float64  `json:"rate"`
	Burst float64  `json:"burst,omitempty"`
	Home  string   `json:"home,omitempty"`
	Keys  []string `json:"keys,omitempty"` // hashes of the keys
}

// CheckedKey returns key number k of the checked tenant. Each sheet contains one.
func CheckedKey(k int) string { return fmt.Sprintf("probe-key-%d", k) }

// NewSheet returns a sheet for a fleet and its tenants with checked key number k.
func NewSheet(f *fleet.Fleet, tenants []Tenant, k int) Sheet {
	sheet := Sheet{
		Services: map[string]SheetService{},
		Weights:  map[string]map[string]float64{},
		Tenants:  map[string]SheetTenant{},
	}
	modelWeights := serversByRegion(f.Spec.ModelLocations)
	for _, name := range f.Spec.Services.Model {
		sheet.Services[name] = SheetService{Kind: history.KindModel}
		sheet.Weights[name] = modelWeights
	}
	webWeights := serversByRegion(f.Spec.WebLocations)
	for _, name := range f.Spec.Services.Web {
		sheet.Services[name] = SheetService{
			Kind:        history.KindWeb,
			PlainTokens: plainTokens,
		}
		sheet.Weights[name] = webWeights
	}
	for _, tenant := range tenants {
		sheet.Tenants[tenant.Name] = SheetTenant{
			Rate:  tenant.Rate,
			Burst: tenant.Burst,
			Home:  tenant.Home,
			Keys:  []string{fleet.HashKey(tenant.Key)},
		}
	}
	sheet.Tenants[checkedTenant] = SheetTenant{
		Rate:  checkedTenantRate,
		Burst: checkedTenantBurst,
		Keys:  []string{fleet.HashKey(CheckedKey(k))},
	}
	return sheet
}

// serversByRegion returns the number of servers in each region, used as weights.
func serversByRegion(servers []fleet.Location) map[string]float64 {
	counts := map[string]float64{}
	for _, location := range servers {
		counts[location.Region]++
	}
	return counts
}
