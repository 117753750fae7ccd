package sheet

import (
	"encoding/json"
	"strconv"
	"strings"
)

// Cell is one cell of a sheet as text. Path is as in Change; the hashes of a
// tenant's keys are one cell, separated by spaces.
type Cell struct{ Path, Value string }

// Cells returns the cells that are set, in the order services, weights,
// tenants, routes, limits, settings, and by name in each. Routes, limits, http
// services and tenants with columns for routes are one cell a row, in JSON.
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
	if service.PlainTokens != 0 {
		l.add(path+".plain_tokens", formatNumber(service.PlainTokens))
	}
}

func (l *cellList) addTenant(path string, tenant Tenant) {
	if tenant.concernsRoutes() {
		l.add(path, formatRow(tenant))
		return
	}
	l.add(path+".rate", formatNumber(tenant.Rate))
	if tenant.Burst != 0 {
		l.add(path+".burst", formatNumber(tenant.Burst))
	}
	if tenant.Home != "" {
		l.add(path+".home", tenant.Home)
	}
	if len(tenant.KeyHashes) > 0 {
		l.add(path+".keys", strings.Join(tenant.KeyHashes, " "))
	}
}

// formatRow writes a row as one cell, in JSON; empty for one that JSON can't
// represent, which no valid sheet has.
func formatRow(row any) string {
	text, err := json.Marshal(row)
	if err != nil {
		return ""
	}
	return string(text)
}

func formatNumber(number float64) string { return strconv.FormatFloat(number, 'f', -1, 64) }

// Diff returns what changes from one sheet to another, one line a cell: "+" for
// a cell that is added, "-" for one that is removed, "~" for one that changes.
// Either sheet may be nil.
func Diff(from, to *Sheet) []string {
	before := from.Cells()
	after := to.Cells()
	removed := make(map[string]string, len(before))
	for _, cell := range before {
		removed[cell.Path] = cell.Value
	}
	var lines []string
	for _, cell := range after {
		value, existed := removed[cell.Path]
		switch {
		case !existed:
			lines = append(lines, "+ "+cell.Path+" = "+cell.Value)
		case value != cell.Value:
			lines = append(lines, "~ "+cell.Path+": "+value+" -> "+cell.Value)
		}
		delete(removed, cell.Path)
	}
	for _, cell := range before {
		if value, isRemoved := removed[cell.Path]; isRemoved {
			lines = append(lines, "- "+cell.Path+" = "+value)
		}
	}
	return lines
}
