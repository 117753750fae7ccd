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

// HashKey returns the SHA-256 of a key in lower-case hexadecimal, the form in
// which sheets contain keys.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Index looks up the tenant of a request by its key, and its route by host and
// path, in one sheet. It is immutable.
type Index struct {
	sheet *Sheet
	// keys contains the tenants' keys by keyBucket of their hashes.
	keys map[uint64][]tenantKey
	// routes contains the routes by lower-case host, longest prefix first.
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

// NewIndex returns the index of a sheet, which may be nil.
func NewIndex(sheet *Sheet) *Index {
	index := &Index{sheet: sheet}
	if sheet == nil {
		return index
	}
	index.routes = routesByHost(sheet.Routes)
	index.keys = make(map[uint64][]tenantKey, len(sheet.Tenants))
	for name, tenant := range sheet.Tenants {
		for _, encodedHash := range tenant.KeyHashes {
			key := tenantKey{tenant: name}
			if length, err := hex.Decode(key.hash[:], []byte(encodedHash)); err != nil || length != len(key.hash) {
				continue
			}
			bucket := keyBucket(key.hash)
			index.keys[bucket] = append(index.keys[bucket], key)
		}
	}
	return index
}

// keyBucket returns the first 8 bytes of a hash as a number.
func keyBucket(hash [sha256.Size]byte) uint64 { return binary.BigEndian.Uint64(hash[:]) }

// ForSheet returns the index of the given sheet: the receiver if it was built from
// that sheet, otherwise a new index. The receiver may be nil.
func (x *Index) ForSheet(s *Sheet) *Index {
	if x != nil && x.sheet == s {
		return x
	}
	return NewIndex(s)
}

// Tenant returns the name and row of the tenant that a caller's key belongs to,
// and whether there is one. Full hashes are compared in constant time.
func (x *Index) Tenant(key string) (string, Tenant, bool) {
	hash := sha256.Sum256([]byte(key))
	owner := ""
	for _, candidate := range x.keys[keyBucket(hash)] {
		if subtle.ConstantTimeCompare(candidate.hash[:], hash[:]) == 1 {
			owner = candidate.tenant
		}
	}
	if owner == "" {
		return "", Tenant{}, false
	}
	return owner, x.sheet.Tenants[owner], true
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

// Route returns the route of a request, which is the route of its host with the
// longest prefix that matches its path, and whether there is one.
func (x *Index) Route(host, path string) (*NamedRoute, bool) {
	hostRoutes := x.routes[strings.ToLower(host)]
	for i := range hostRoutes {
		if strings.HasPrefix(path, hostRoutes[i].Prefix) {
			return &hostRoutes[i], true
		}
	}
	return nil, false
}

// Sheet returns the sheet that the index was built from. It is nil if there was no
// sheet yet.
func (x *Index) Sheet() *Sheet { return x.sheet }
