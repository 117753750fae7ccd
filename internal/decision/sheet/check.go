package sheet

import (
	"strings"
	"unicode/utf8"

	"stepwick/internal/apierror"
)

// Check returns nil for a valid sheet. Otherwise the error describes the first
// violations, ordered by table and name. Its code is SheetTooLarge if the sheet
// exceeds its size or its number of tenants, services or settings, and
// InvalidSheet otherwise.
func (s *Sheet) Check() *apierror.Error {
	if s == nil {
		return apierror.Errorf(apierror.InvalidSheet, "the sheet is missing")
	}
	return s.check(sortedNames(s.Tenants))
}

// check is like Check, except that of the tenants it validates only those given.
// The others must be valid and must not share keys among themselves.
func (s *Sheet) check(tenants []string) *apierror.Error {
	if size := s.Size(); size > MaxBytes {
		return apierror.Errorf(apierror.SheetTooLarge, "sheet of about %d bytes exceeds the limit of %d bytes", size, MaxBytes)
	}
	if len(s.Tenants) > MaxTenants || len(s.Services) > MaxServices || len(s.Settings) > MaxSettings {
		return apierror.Errorf(apierror.SheetTooLarge, "%d tenants, %d services or %d settings exceed the limits of %d, %d and %d",
			len(s.Tenants), len(s.Services), len(s.Settings), MaxTenants, MaxServices, MaxSettings)
	}
	var violations violationList
	s.checkServices(&violations)
	s.checkWeights(&violations)
	s.checkTenants(&violations, tenants)
	s.checkSettings(&violations)
	s.checkRoutes(&violations)
	s.checkLimits(&violations)
	return violations.apiError(apierror.InvalidSheet)
}

func (s *Sheet) checkServices(violations *violationList) {
	if len(s.Services) == 0 {
		violations.addf("services: the sheet has no services")
	}
	for _, name := range sortedNames(s.Services) {
		if !ValidName(name) {
			violations.addf("services: %s is not a valid name", quoted(name))
			continue
		}
		s.checkService(violations, name)
	}
}

func (s *Sheet) checkService(violations *violationList, name string) {
	service := s.Services[name]
	if service.Kind != KindModel && service.Kind != KindWeb && service.Kind != KindHTTP {
		violations.addf("services.%s.kind: %s is not one of model, web and http", name, quoted(service.Kind))
	}
	if service.MaxConnections < 0 || service.SlowStartMS < 0 || !validNumber(service.SlowStartRate) {
		violations.addf("services.%s: max_connections %d, cold_ms %d or cold_per_second %v is out of bounds",
			name, service.MaxConnections, service.SlowStartMS, service.SlowStartRate)
	}
	if !validNumber(service.OneShotTokens) {
		violations.addf("services.%s.plain_tokens: %v is out of bounds", name, service.OneShotTokens)
	}
	if service.Kind != KindHTTP && !hasWeight(s.Weights[name]) {
		violations.addf("weights.%s: no region has a weight above zero", name)
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

func (s *Sheet) checkWeights(violations *violationList) {
	for _, service := range sortedNames(s.Weights) {
		if _, exists := s.Services[service]; !exists {
			violations.addf("weights: no service %s", quoted(service))
			continue
		}
		weights := s.Weights[service]
		if len(weights) > MaxRegions {
			violations.addf("weights.%s: %d regions exceed the limit of %d", service, len(weights), MaxRegions)
		}
		for _, region := range sortedNames(weights) {
			switch {
			case !ValidName(region):
				violations.addf("weights.%s: %s is not a valid name", service, quoted(region))
			case !validNumber(weights[region]):
				violations.addf("weights.%s.%s: %v is out of bounds", service, region, weights[region])
			}
		}
	}
}

// checkTenants checks the named tenants, and that no other tenant shares their
// keys.
func (s *Sheet) checkTenants(violations *violationList, names []string) {
	owners := make(map[string]string, len(names))
	for _, name := range names {
		if !ValidName(name) {
			violations.addf("tenants: %s is not a valid name", quoted(name))
			continue
		}
		tenant := s.Tenants[name]
		checkTenant(violations, name, tenant)
		checkKeys(violations, name, tenant.KeyHashes, owners)
	}
	if len(names) < len(s.Tenants) {
		s.checkKeysAgainstOthers(violations, names, owners)
	}
}

func checkTenant(violations *violationList, name string, tenant Tenant) {
	if !validNumber(tenant.Rate) {
		violations.addf("tenants.%s.rate: %v is out of bounds", name, tenant.Rate)
	}
	if !validNumber(tenant.Burst) {
		violations.addf("tenants.%s.burst: %v is out of bounds", name, tenant.Burst)
	}
	if tenant.Priority < 0 || tenant.Priority > MaxPriority {
		violations.addf("tenants.%s.priority: %d is not between 0 and %d", name, tenant.Priority, MaxPriority)
	}
	if tenant.Unit != "" && tenant.Unit != UnitTokens && tenant.Unit != UnitRequests {
		violations.addf("tenants.%s.unit: %s is neither tokens nor requests", name, quoted(tenant.Unit))
	}
	if !validNumber(tenant.DefaultTokens) {
		violations.addf("tenants.%s.plain_tokens: %v is out of bounds", name, tenant.DefaultTokens)
	}
	checkAllowedRegions(violations, "tenants."+name, tenant.AllowedRegions)
	if tenant.HomeRegion != "" && !ValidName(tenant.HomeRegion) {
		violations.addf("tenants.%s.home: %s is not a valid name", name, quoted(tenant.HomeRegion))
	}
}

// checkKeys checks the key hashes of one tenant and adds them to owners, which
// maps each key hash checked so far to its tenant.
func checkKeys(violations *violationList, name string, hashes []string, owners map[string]string) {
	if len(hashes) > MaxKeys {
		violations.addf("tenants.%s.keys: %d keys exceed the limit of %d", name, len(hashes), MaxKeys)
	}
	for _, hash := range hashes {
		if !ValidKeyHash(hash) {
			violations.addf("tenants.%s.keys: %s is not 64 lower-case hexadecimal digits", name, quoted(hash))
			continue
		}
		if owner, taken := owners[hash]; taken {
			violations.addSharedKey(name, hash, owner)
			continue
		}
		owners[hash] = name
	}
}

// checkKeysAgainstOthers reports the keys of the named tenants that also belong to
// another tenant. The keys of owners are the key hashes of the named tenants.
func (s *Sheet) checkKeysAgainstOthers(violations *violationList, names []string, owners map[string]string) {
	otherOwners := make(map[string]string)
	for other, tenant := range s.Tenants {
		for _, hash := range tenant.KeyHashes {
			if owner, hasOwner := owners[hash]; hasOwner && owner != other {
				otherOwners[hash] = other
			}
		}
	}
	for _, name := range names {
		for _, hash := range s.Tenants[name].KeyHashes {
			if other, shared := otherOwners[hash]; shared {
				violations.addSharedKey(name, hash, other)
			}
		}
	}
}

// addSharedKey reports a key that two tenants share, identified by the first
// digits of its hash.
func (v *violationList) addSharedKey(name, hash, owner string) {
	v.addf("tenants.%s.keys: %s… is already a key of %s", name, hash[:8], owner)
}

func (s *Sheet) checkSettings(violations *violationList) {
	for _, name := range sortedNames(s.Settings) {
		for part := range strings.SplitSeq(name, ".") {
			if !ValidName(part) {
				violations.addf("settings: %s is not a valid name", quoted(name))
				break
			}
		}
		if value := s.Settings[name]; len(value) > MaxSettingBytes || !utf8.ValidString(value) {
			violations.addf("settings.%s: the value of %d bytes is not valid UTF-8 or exceeds the limit of %d bytes",
				excerpt(name), len(value), MaxSettingBytes)
		}
	}
}

// SettingValidator checks the name and value of a run-time setting. Its error is
// returned to the operator.
type SettingValidator func(name, value string) error

// CheckSettings checks the names and values of the sheet's settings with a
// validator. A nil validator accepts all of them.
func (s *Sheet) CheckSettings(validate SettingValidator) *apierror.Error {
	if validate == nil {
		return nil
	}
	var violations violationList
	for _, name := range sortedNames(s.Settings) {
		if err := validate(name, s.Settings[name]); err != nil {
			violations.addf("settings.%s: %v", name, err)
		}
	}
	return violations.apiError(apierror.InvalidSheet)
}
