package statemachine

import (
	"encoding/json"

	"stepwick/internal/decision/sheet"
)

func hashKey(key string) string { return sheet.HashKey(key) }

func sampleSheet() *sheet.Sheet {
	return &sheet.Sheet{
		Services: map[string]sheet.Service{"chat": {Kind: sheet.KindModel}, "map": {Kind: sheet.KindWeb, OneShotTokens: 20}},
		Weights:  map[string]map[string]float64{"chat": {"lagos": 60, "abeokuta": 40}, "map": {"lagos": 1}},
		Tenants: map[string]sheet.Tenant{
			"press": {Rate: 1000, Burst: 500, HomeRegion: "lagos", KeyHashes: []string{hashKey("press-1"), hashKey("press-2")}},
			"city":  {Rate: 250.5, KeyHashes: []string{hashKey("city-1")}},
		},
		Settings: map[string]string{"route.strategy": "affinity"},
	}
}

func mustEncode(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return string(data)
}

func sampleRoutes() *sheet.Sheet {
	return &sheet.Sheet{
		Services: map[string]sheet.Service{
			"pool": {Kind: sheet.KindHTTP, HealthPath: "/health", MaxConnections: 320, SlowStartRate: 17, SlowStartMS: 3000},
			"desk": {Kind: sheet.KindHTTP},
		},
		Tenants: map[string]sheet.Tenant{"press": {Rate: 1000, Unit: sheet.UnitTokens, KeyHashes: []string{hashKey("one"), hashKey("two")}}},
		Routes: map[string]sheet.Route{
			"digest": {Host: "news.example", Prefix: "/", Kind: sheet.RouteStream, TimeoutMS: 8000, Splits: []sheet.Split{{Service: "pool", Weight: 1}}},
			"map": {Host: "news.example", Prefix: "/map/", Kind: sheet.RouteUnsafe, TimeoutMS: 1000,
				Splits: []sheet.Split{{Service: "pool", Weight: 9}, {Service: "desk", Weight: 1}}, AllowedRegions: []string{"lagos"}},
		},
	}
}
