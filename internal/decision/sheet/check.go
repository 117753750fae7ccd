package sheet

import (
	"strings"
	"unicode/utf8"

	"stepwick/internal/apierror"
)

// Check returns nil for a valid sheet, or an error whose detail names the first
// broken rules in the order of the cells. The code is SheetTooLarge where a
// bound on size is exceeded and InvalidSheet otherwise.
func (s *Sheet) Check() *apierror.Error {
	if s == nil {
		return apierror.Errorf(apierror.InvalidSheet, "no sheet")
	}
	return s.check(sortedNames(s.Tenants))
}

// check is Check for a sheet whose tenants other than those named are known to
// be valid among themselves.
func (s *Sheet) check(tenants []string) *apierror.Error {
	if size := s.Size(); size > MaxBytes {
		return apierror.Errorf(apierror.SheetTooLarge, "about %d bytes; the bound is %d", size, MaxBytes)
	}
	if len(s.Tenants) > MaxTenants || len(s.Services) > MaxServices || len(s.Settings) > MaxSettings {
		return apierror.Errorf(apierror.SheetTooLarge, "%d tenants, %d services, %d settings; the bounds are %d, %d and %d",
			len(s.Tenants), len(s.Services), len(s.Settings), MaxTenants, MaxServices, MaxSettings)
	}
	var broken violations
	s.checkServices(&broken)
	s.checkWeights(&broken)
	s.checkTenants(&broken, tenants)
	s.checkSettings(&broken)
	s.checkRoutes(&broken)
	s.checkLimits(&broken)
	return broken.apiError(apierror.InvalidSheet)
}

func (s *Sheet) checkServices(broken *violations) {
	if len(s.Services) == 0 {
		broken.add("services: there is none")
	}
	for _, name := range sortedNames(s.Services) {
		if !ValidName(name) {
			broken.add("services: %s is no name", quoted(name))
			continue
		}
		s.checkService(broken, name)
	}
}

func (s *Sheet) checkService(broken *violations, name string) {
	service := s.Services[name]
	if service.Kind != KindModel && service.Kind != KindWeb && service.Kind != KindHTTP {
		broken.add("services.%s.kind: %s is none of model, web and http", name, quoted(service.Kind))
	}
	if service.MaxConnections < 0 || service.SlowStartMS < 0 || !validNumber(service.SlowStartRate) {
		broken.add("services.%s: a bound is below zero", name)
	}
	if !validNumber(service.PlainTokens) {
		broken.add("services.%s.plain_tokens: %v is out of bounds", name, service.PlainTokens)
	}
	if service.Kind != KindHTTP && !hasWeight(s.Weights[name]) {
		broken.add("weights.%s: no region has a weight above zero", name)
	}
}

func hasWeight(weights map[string]float64) bool {
	for _, weight := range weights {
		if weight > 0 {
			return true
		}
	}
	return false
}

func (s *Sheet) checkWeights(broken *violations) {
	for _, service := range sortedNames(s.Weights) {
		if _, known := s.Services[service]; !known {
			broken.add("weights: no service %s", quoted(service))
			continue
		}
		weights := s.Weights[service]
		if len(weights) > MaxRegions {
			broken.add("weights.%s: %d regions; the bound is %d", service, len(weights), MaxRegions)
		}
		for _, region := range sortedNames(weights) {
			switch {
			case !ValidName(region):
				broken.add("weights.%s: %s is no name", service, quoted(region))
			case !validNumber(weights[region]):
				broken.add("weights.%s.%s: %v is out of bounds", service, region, weights[region])
			}
		}
	}
}

// checkTenants checks the tenants named, and their keys also against those of
// all others.
func (s *Sheet) checkTenants(broken *violations, names []string) {
	owners := make(map[string]string, len(names))
	for _, name := range names {
		if !ValidName(name) {
			broken.add("tenants: %s is no name", quoted(name))
			continue
		}
		tenant := s.Tenants[name]
		checkTenant(broken, name, tenant)
		checkKeys(broken, name, tenant.KeyHashes, owners)
	}
	if len(names) < len(s.Tenants) {
		s.checkKeysOfOthers(broken, names, owners)
	}
}

func checkTenant(broken *violations, name string, tenant Tenant) {
	if !validNumber(tenant.Rate) {
		broken.add("tenants.%s.rate: %v is out of bounds", name, tenant.Rate)
	}
	if !validNumber(tenant.Burst) {
		broken.add("tenants.%s.burst: %v is out of bounds", name, tenant.Burst)
	}
	if tenant.Priority < 0 || tenant.Priority > MaxPriority {
		broken.add("tenants.%s.priority: %d is out of bounds", name, tenant.Priority)
	}
	if tenant.Unit != "" && tenant.Unit != UnitTokens && tenant.Unit != UnitRequests {
		broken.add("tenants.%s.unit: %s is neither tokens nor requests", name, quoted(tenant.Unit))
	}
	if !validNumber(tenant.PlainTokens) {
		broken.add("tenants.%s.plain_tokens: %v is out of bounds", name, tenant.PlainTokens)
	}
	checkHomes(broken, "tenants."+name, tenant.Homes)
	if tenant.Home != "" && !ValidName(tenant.Home) {
		broken.add("tenants.%s.home: %s is no name", name, quoted(tenant.Home))
	}
}

// checkKeys checks the keys of one tenant and adds them to owners, which has
// the tenant of each key seen before.
func checkKeys(broken *violations, name string, hashes []string, owners map[string]string) {
	if len(hashes) > MaxKeys {
		broken.add("tenants.%s.keys: %d keys; the bound is %d", name, len(hashes), MaxKeys)
	}
	for _, hash := range hashes {
		if !ValidKeyHash(hash) {
			broken.add("tenants.%s.keys: %s is not 64 lower-case hexadecimal digits", name, quoted(hash))
			continue
		}
		if owner, taken := owners[hash]; taken {
			broken.addSharedKey(name, hash, owner)
			continue
		}
		owners[hash] = name
	}
}

// checkKeysOfOthers reports keys of the tenants named, of which owners has the
// tenant, that belong to another tenant too.
func (s *Sheet) checkKeysOfOthers(broken *violations, names []string, owners map[string]string) {
	otherOwners := make(map[string]string)
	for other, tenant := range s.Tenants {
		for _, hash := range tenant.KeyHashes {
			if owner, known := owners[hash]; known && owner != other {
				otherOwners[hash] = other
			}
		}
	}
	for _, name := range names {
		for _, hash := range s.Tenants[name].KeyHashes {
			if other, shared := otherOwners[hash]; shared {
				broken.addSharedKey(name, hash, other)
			}
		}
	}
}

// addSharedKey reports a key that two tenants have, by its first digits.
func (v *violations) addSharedKey(name, hash, owner string) {
	v.add("tenants.%s.keys: %s… is already a key of %s", name, hash[:8], owner)
}

func (s *Sheet) checkSettings(broken *violations) {
	for _, name := range sortedNames(s.Settings) {
		for part := range strings.SplitSeq(name, ".") {
			if !ValidName(part) {
				broken.add("settings: %s is no name", quoted(name))
				break
			}
		}
		if value := s.Settings[name]; len(value) > MaxSetting || !utf8.ValidString(value) {
			broken.add("settings.%s: not a text of at most %d bytes", excerpt(name), MaxSetting)
		}
	}
}

// SettingValidator checks the name and value of a run-time setting. Its error
// is shown to the operator.
type SettingValidator func(name, value string) error

// CheckSettings checks the values of the sheet's settings; a nil validator
// accepts all.
func (s *Sheet) CheckSettings(validate SettingValidator) *apierror.Error {
	if validate == nil {
		return nil
	}
	var broken violations
	for _, name := range sortedNames(s.Settings) {
		if err := validate(name, s.Settings[name]); err != nil {
			broken.add("settings.%s: %v", name, err)
		}
	}
	return broken.apiError(apierror.InvalidSheet)
}
