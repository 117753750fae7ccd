package sheet

import (
	"encoding/json"
	"strconv"
	"strings"
)

// Cell is one cell of a sheet as text. Path has the syntax described at Change.
// The key hashes of a tenant form one cell, separated by spaces.
type Cell struct{ Path, Value string }

// Cells returns the cells that are set, ordered by table (services, weights,
// tenants, routes, limits, settings) and by name within a table. Routes, limits,
// services of KindHTTP and tenants with columns for routes yield one cell per
// row, in JSON.
func (s *Sheet) Cells() []Cell {
	if s == nil {
		return nil
	}
	cells := make(cellList, 0, 2*len(s.Services)+8*len(s.Weights)+4*len(s.Tenants)+len(s.Settings))
	for _, name := range sortedNames(s.Services) {
		cells.addService("services."+name, s.Services[name])
	}
	for _, service := range sortedNames(s.Weights) {
		for _, region := range sortedNames(s.Weights[service]) {
			cells.add("weights."+service+"."+region, formatNumber(s.Weights[service][region]))
		}
	}
	for _, name := range sortedNames(s.Tenants) {
		cells.addTenant("tenants."+name, s.Tenants[name])
	}
	for _, name := range sortedNames(s.Routes) {
		cells.add("routes."+name, formatRow(s.Routes[name]))
	}
	if s.Limits != nil {
		cells.add(limitsPath, formatRow(s.Limits))
	}
	for _, name := range sortedNames(s.Settings) {
		cells.add("settings."+name, s.Settings[name])
	}
	return cells
}

type cellList []Cell

func (l *cellList) add(path, value string) { *l = append(*l, Cell{path, value}) }

func (l *cellList) addService(path string, service Service) {
	if service.Kind == KindHTTP {
		l.add(path, formatRow(service))
		return
	}
	l.add(path+".kind", service.Kind)
	if service.OneShotTokens != 0 {
		l.add(path+".plain_tokens", formatNumber(service.OneShotTokens))
	}
}

func (l *cellList) addTenant(path string, tenant Tenant) {
	if tenant.hasRouteColumns() {
		l.add(path, formatRow(tenant))
		return
	}
	l.add(path+".rate", formatNumber(tenant.Rate))
	if tenant.Burst != 0 {
		l.add(path+".burst", formatNumber(tenant.Burst))
	}
	if tenant.HomeRegion != "" {
		l.add(path+".home", tenant.HomeRegion)
	}
	if len(tenant.KeyHashes) > 0 {
		l.add(path+".keys", strings.Join(tenant.KeyHashes, " "))
	}
}

// formatRow returns the JSON of a row, or an empty string if JSON cannot
// represent it, which does not happen in a valid sheet.
func formatRow(row any) string {
	text, err := json.Marshal(row)
	if err != nil {
		return ""
	}
	return string(text)
}

func formatNumber(number float64) string { return strconv.FormatFloat(number, 'f', -1, 64) }

// Diff returns the differences between two sheets, one line per cell: "+" marks
// an added cell, "-" a removed cell, "~" a changed cell. Either sheet may be nil.
func Diff(from, to *Sheet) []string {
	before := from.Cells()
	after := to.Cells()
	unmatched := make(map[string]string, len(before))
	for _, cell := range before {
		unmatched[cell.Path] = cell.Value
	}
	var lines []string
	for _, cell := range after {
		value, existed := unmatched[cell.Path]
		switch {
		case !existed:
			lines = append(lines, "+ "+cell.Path+" = "+cell.Value)
		case value != cell.Value:
			lines = append(lines, "~ "+cell.Path+": "+value+" -> "+cell.Value)
		}
		delete(unmatched, cell.Path)
	}
	for _, cell := range before {
		if value, isRemoved := unmatched[cell.Path]; isRemoved {
			lines = append(lines, "- "+cell.Path+" = "+value)
		}
	}
	return lines
}
