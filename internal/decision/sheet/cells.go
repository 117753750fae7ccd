package sheet

import (
	"bytes"
	"encoding/csv"
	"encoding/json"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/strictjson"
)

// Cell is one cell of a sheet as text. Path is as in Change; the hashes of a
// tenant's keys are one cell, parted by spaces.
type Cell struct{ Path, Value string }

// Cells returns the cells that are set, in the order services, weights,
// tenants, routes, limits, settings, and by name in each. Routes, limits, http
// services and tenants with columns for routes are one cell a row, in JSON.
func (s *Sheet) Cells() []Cell {
	if s == nil {
		return nil
	}
	cells := make([]Cell, 0, 2*len(s.Services)+8*len(s.Weights)+4*len(s.Tenants)+len(s.Settings))
	add := func(path, value string) { cells = append(cells, Cell{path, value}) }
	for _, name := range sortedNames(s.Services) {
		service := s.Services[name]
		if service.Kind == KindHTTP {
			add("services."+name, rowText(service))
			continue
		}
		add("services."+name+".kind", service.Kind)
		if service.PlainTokens != 0 {
			add("services."+name+".plain_tokens", figure(service.PlainTokens))
		}
	}
	for _, service := range sortedNames(s.Weights) {
		for _, region := range sortedNames(s.Weights[service]) {
			add("weights."+service+"."+region, figure(s.Weights[service][region]))
		}
	}
	for _, name := range sortedNames(s.Tenants) {
		tenant := s.Tenants[name]
		if tenant.forRoutes() {
			add("tenants."+name, rowText(tenant))
			continue
		}
		add("tenants."+name+".rate", figure(tenant.Rate))
		if tenant.Burst != 0 {
			add("tenants."+name+".burst", figure(tenant.Burst))
		}
		if tenant.Home != "" {
			add("tenants."+name+".home", tenant.Home)
		}
		if len(tenant.KeyHashes) > 0 {
			add("tenants."+name+".keys", strings.Join(tenant.KeyHashes, " "))
		}
	}
	for _, name := range sortedNames(s.Routes) {
		add("routes."+name, rowText(s.Routes[name]))
	}
	if s.Limits != nil {
		add(limitsCell, rowText(s.Limits))
	}
	for _, name := range sortedNames(s.Settings) {
		add("settings."+name, s.Settings[name])
	}
	return cells
}

// limitsCell is the one row of the limits of clients.
const limitsCell = "limits.clients"

// forRoutes tells whether a tenant has columns that concern routes; its row is
// then one cell.
func (t Tenant) forRoutes() bool {
	return t.Priority != 0 || t.Unit != "" || t.PlainTokens != 0 || len(t.Homes) > 0 || t.Origin != nil
}

// rowText writes a row as one cell, in JSON.
func rowText(row any) string {
	text, err := json.Marshal(row)
	if err != nil {
		return ""
	}
	return string(text)
}

// Diff returns what changes from one sheet to another, one line a cell: "+" for
// a cell that comes, "-" for one that goes, "~" for one that changes. Either
// sheet may be nil.
func Diff(from, to *Sheet) []string {
	before, after := from.Cells(), to.Cells()
	old := make(map[string]string, len(before))
	for _, cell := range before {
		old[cell.Path] = cell.Value
	}
	var lines []string
	for _, cell := range after {
		value, there := old[cell.Path]
		switch {
		case !there:
			lines = append(lines, "+ "+cell.Path+" = "+cell.Value)
		case value != cell.Value:
			lines = append(lines, "~ "+cell.Path+": "+value+" -> "+cell.Value)
		}
		delete(old, cell.Path)
	}
	for _, cell := range before {
		if value, gone := old[cell.Path]; gone {
			lines = append(lines, "- "+cell.Path+" = "+value)
		}
	}
	return lines
}

var csvHead = []string{"cell", "value"}

// ExportCSV returns the sheet as CSV with the columns cell and value, one row a
// cell.
func (s *Sheet) ExportCSV() []byte {
	var out bytes.Buffer
	w := csv.NewWriter(&out)
	_ = w.Write(csvHead)
	for _, cell := range s.Cells() {
		_ = w.Write([]string{cell.Path, cell.Value})
	}
	w.Flush()
	return out.Bytes()
}

// ImportCSV reads what ExportCSV wrote, from at most limit bytes, and checks
// it. Rows may stand in any order; an empty value leaves the cell unset.
func ImportCSV(data []byte, limit int) (*Sheet, *apierror.Error) {
	if len(data) > limit {
		return nil, apierror.Errorf(apierror.SheetTooLarge, "%d bytes; the bound is %d", len(data), limit)
	}
	r := csv.NewReader(bytes.NewReader(bytes.TrimPrefix(data, []byte("\ufeff"))))
	r.FieldsPerRecord = len(csvHead)
	head, err := r.Read()
	if err != nil || !slices.Equal(head, csvHead) {
		return nil, apierror.Errorf(apierror.InvalidSheet, "the first row must be cell,value")
	}
	e := importer{sheet: Sheet{Services: map[string]Service{}, Weights: map[string]map[string]float64{},
		Tenants: map[string]Tenant{}, Settings: map[string]string{}, Routes: map[string]Route{}}, seen: map[string]bool{}}
	var broken rules
	for {
		row, err := r.Read()
		if err == io.EOF {
			break
		}
		if err != nil {
			return nil, apierror.Errorf(apierror.InvalidSheet, "%v", err)
		}
		if why := e.set(strings.TrimSpace(row[0]), strings.TrimSpace(row[1])); why != "" {
			line, _ := r.FieldPos(0)
			broken.add("line %d: %s: %s", line, strictjson.Excerpt(row[0]), why)
		}
	}
	if apiErr := broken.fault(apierror.InvalidSheet); apiErr != nil {
		return nil, apiErr
	}
	if apiErr := e.sheet.Check(); apiErr != nil {
		return nil, apiErr
	}
	return &e.sheet, nil
}

type importer struct {
	sheet Sheet
	seen  map[string]bool
}

func (e *importer) set(path, value string) (why string) {
	c, apiErr := splitPath(path)
	if apiErr != nil {
		return "no such cell"
	}
	if e.seen[path] {
		return "given twice"
	}
	e.seen[path] = true
	if value == "" && c.table != "settings" {
		return ""
	}
	if c.column == "" && rowSchemas[c.table] != nil && c.table != "weights" {
		return e.setRow(c, json.RawMessage(value))
	}
	var v float64
	if c.numeric() {
		parsed, err := strconv.ParseFloat(value, 64)
		if err != nil || !validNumber(parsed) {
			return strconv.Quote(strictjson.Excerpt(value)) + " is no number from 0 to 1e12"
		}
		v = parsed
	}
	service, tenant := e.sheet.Services[c.row], e.sheet.Tenants[c.row]
	switch c.table + "." + c.column {
	case "services.kind":
		service.Kind = value
	case "services.plain_tokens":
		service.PlainTokens = v
	case "tenants.rate":
		tenant.Rate = v
	case "tenants.burst":
		tenant.Burst = v
	case "tenants.home":
		tenant.Home = value
	case "tenants.keys":
		tenant.KeyHashes = hashFields(value)
	default:
		switch {
		case c.table == "weights" && c.column != "":
			if e.sheet.Weights[c.row] == nil {
				e.sheet.Weights[c.row] = make(map[string]float64)
			}
			e.sheet.Weights[c.row][c.column] = v
		case c.table == "settings":
			e.sheet.Settings[c.row] = value
		default:
			return "not one cell"
		}
	}
	switch c.table {
	case "services":
		e.sheet.Services[c.row] = service
	case "tenants":
		e.sheet.Tenants[c.row] = tenant
	}
	return ""
}

// setRow sets a row that is written as one cell.
func (e *importer) setRow(c cellPath, value json.RawMessage) (why string) {
	switch c.table {
	case "services":
		var service Service
		why = typed(value, rowSchemas[c.table], &service)
		e.sheet.Services[c.row] = service
	case "tenants":
		var tenant Tenant
		why = typed(value, rowSchemas[c.table], &tenant)
		e.sheet.Tenants[c.row] = tenant
	case "routes":
		var route Route
		why = typed(value, rowSchemas[c.table], &route)
		e.sheet.Routes[c.row] = route
	case "limits":
		e.sheet.Limits = &ClientLimits{}
		why = typed(value, rowSchemas[c.table], e.sheet.Limits)
	}
	return why
}

func hashFields(value string) []string {
	return strings.FieldsFunc(value, func(r rune) bool { return r == ',' || r == ' ' })
}

func figure(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }

func sortedNames[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
