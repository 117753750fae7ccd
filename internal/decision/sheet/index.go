package sheet

import (
	"cmp"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"encoding/hex"
	"slices"
	"strings"
)

// HashKey returns a key's SHA-256 in lower-case hexadecimal, as sheets have it.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Index finds the tenants and routes of one sheet by a request's key, host and
// path. It is immutable.
type Index struct {
	sheet *Sheet
	// keys has the keys by the first bytes of their hashes.
	keys map[uint64][]tenantKey
	// routes has the routes by lower-case host, the longest prefix first.
	routes map[string][]NamedRoute
}

// NamedRoute is a route with its name in the sheet.
type NamedRoute struct {
	Name string
	Route
}

type tenantKey struct {
	hash   [sha256.Size]byte
	tenant string
}

// NewIndex builds the index of a sheet, which may be nil.
func NewIndex(sheet *Sheet) *Index {
	index := &Index{sheet: sheet}
	if sheet == nil {
		return index
	}
	index.routes = routesByHost(sheet.Routes)
	index.keys = make(map[uint64][]tenantKey, len(sheet.Tenants))
	for name, tenant := range sheet.Tenants {
		for _, text := range tenant.KeyHashes {
			key := tenantKey{tenant: name}
			if length, err := hex.Decode(key.hash[:], []byte(text)); err != nil || length != len(key.hash) {
				continue
			}
			bucket := keyBucket(key.hash)
			index.keys[bucket] = append(index.keys[bucket], key)
		}
	}
	return index
}

// keyBucket returns the first bytes of a hash as a number.
func keyBucket(hash [sha256.Size]byte) uint64 { return binary.BigEndian.Uint64(hash[:]) }

// ForSheet returns the index of another sheet, which is the receiver itself
// where the sheet is the same one.
func (x *Index) ForSheet(s *Sheet) *Index {
	if x != nil && x.sheet == s {
		return x
	}
	return NewIndex(s)
}

// Tenant returns the tenant that a caller's key belongs to. The full hash is
// compared in constant time.
func (x *Index) Tenant(key string) (string, Tenant, bool) {
	hash := sha256.Sum256([]byte(key))
	found := ""
	for _, candidate := range x.keys[keyBucket(hash)] {
		if subtle.ConstantTimeCompare(candidate.hash[:], hash[:]) == 1 {
			found = candidate.tenant
		}
	}
	if found == "" {
		return "", Tenant{}, false
	}
	return found, x.sheet.Tenants[found], true
}

func routesByHost(routes map[string]Route) map[string][]NamedRoute {
	hosts := make(map[string][]NamedRoute)
	for _, name := range sortedNames(routes) {
		host := strings.ToLower(routes[name].Host)
		hosts[host] = append(hosts[host], NamedRoute{Name: name, Route: routes[name]})
	}
	for _, hostRoutes := range hosts {
		slices.SortStableFunc(hostRoutes, func(a, b NamedRoute) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return hosts
}

// Route returns the route of a request: among those of its host the one with
// the longest prefix that begins its path.
func (x *Index) Route(host, path string) (*NamedRoute, bool) {
	hostRoutes := x.routes[strings.ToLower(host)]
	for i := range hostRoutes {
		if strings.HasPrefix(path, hostRoutes[i].Prefix) {
			return &hostRoutes[i], true
		}
	}
	return nil, false
}

// Sheet returns the sheet that the index was built from; nil before the first.
func (x *Index) Sheet() *Sheet { return x.sheet }
