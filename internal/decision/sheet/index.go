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

// HashKey returns a key's SHA-256 in lower-case hexadecimal, as sheets hold it.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Index finds tenants by their keys in one version's sheet. It is immutable.
type Index struct {
	sheet  *Sheet
	owners map[uint64][]owner
	hosts  map[string][]NamedRoute // by lower-case host, the longest prefix first
}

// NamedRoute is a route with its name in the sheet.
type NamedRoute struct {
	Name string
	Route
}

type owner struct {
	hash   [sha256.Size]byte
	tenant string
}

// NewIndex builds the index of a sheet, which may be nil.
func NewIndex(s *Sheet) *Index {
	x := &Index{sheet: s}
	if s == nil {
		return x
	}
	x.hosts = routesByHost(s.Routes)
	x.owners = make(map[uint64][]owner, len(s.Tenants))
	for name, tenant := range s.Tenants {
		for _, text := range tenant.KeyHashes {
			o := owner{tenant: name}
			if n, err := hex.Decode(o.hash[:], []byte(text)); err != nil || n != len(o.hash) {
				continue
			}
			place := binary.BigEndian.Uint64(o.hash[:])
			x.owners[place] = append(x.owners[place], o)
		}
	}
	return x
}

// ForSheet returns the index of another sheet, which is the receiver itself
// where the sheet is the same one.
func (x *Index) ForSheet(s *Sheet) *Index {
	if x != nil && x.sheet == s {
		return x
	}
	return NewIndex(s)
}

// Tenant returns the tenant that a caller's key belongs to. The whole hash is
// compared in constant time.
func (x *Index) Tenant(key string) (string, Tenant, bool) {
	hash := sha256.Sum256([]byte(key))
	found := ""
	for _, o := range x.owners[binary.BigEndian.Uint64(hash[:])] {
		if subtle.ConstantTimeCompare(o.hash[:], hash[:]) == 1 {
			found = o.tenant
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
	for _, list := range hosts {
		slices.SortStableFunc(list, func(a, b NamedRoute) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return hosts
}

// Route returns the route of a request: among those of its host the one with
// the longest prefix that begins its path.
func (x *Index) Route(host, path string) (*NamedRoute, bool) {
	list := x.hosts[strings.ToLower(host)]
	for i := range list {
		if strings.HasPrefix(path, list[i].Prefix) {
			return &list[i], true
		}
	}
	return nil, false
}

// Sheet returns the sheet that the index was built from; nil before the first.
func (x *Index) Sheet() *Sheet { return x.sheet }
