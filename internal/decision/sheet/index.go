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

// Index builds the index of the state's sheet.
func (s State) Index() *Index {
	x := &Index{sheet: s.Sheet}
	if s.Sheet == nil {
		return x
	}
	x.hosts = routesByHost(s.Sheet.Routes)
	x.owners = make(map[uint64][]owner, len(s.Sheet.Tenants))
	for name, tenant := range s.Sheet.Tenants {
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

// For returns the index of another state: itself while the sheet is the same.
func (x *Index) For(s State) *Index {
	if x != nil && x.sheet == s.Sheet {
		return x
	}
	return s.Index()
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
