package sheet

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"strings"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/strictjson"
)

// MaxChanges bounds the changes of one patch.
const MaxChanges = 1 << 16

// Change sets or deletes one cell. Paths are
//
//	services.NAME, services.NAME.kind, services.NAME.plain_tokens
//	weights.SERVICE, weights.SERVICE.REGION
//	tenants.NAME, tenants.NAME.rate, .burst, .home, .keys
//	tenants.NAME.keys+ (adds one hash), tenants.NAME.keys- (takes one away)
//	routes.NAME, limits.clients
//	settings.NAME
//
// A path of two parts sets a whole row. Value is the cell's JSON; it is absent
// where Delete is set.
type Change struct {
	Path   string          `json:"path"`
	Value  json.RawMessage `json:"value,omitempty"`
	Delete bool            `json:"delete,omitempty"`
}

// String returns the change as it is written on the command line.
func (c Change) String() string {
	if c.Delete {
		return "delete " + c.Path
	}
	value := string(c.Value)
	var text string
	if json.Unmarshal(c.Value, &text) == nil {
		value = text
	}
	return c.Path + "=" + value
}

// ParseChange reads path=value, path+=value or path-=value, with the value
// typed as its cell asks: weights.chat.lagos=30, tenants.press.keys+=HASH.
func ParseChange(text string) (Change, *apierror.Error) {
	path, value, ok := strings.Cut(text, "=")
	if !ok || path == "" {
		return Change{}, apierror.Errorf(apierror.InvalidChange, "%s is not path=value", strconv.Quote(strictjson.Excerpt(text)))
	}
	return TextChange(strings.TrimSpace(path), strings.TrimSpace(value))
}

// TextChange returns the change that sets a cell to a value written as text, as
// spreadsheets hold it: hashes of keys are parted by spaces or commas.
func TextChange(path, value string) (Change, *apierror.Error) {
	c, apiErr := splitPath(path)
	if apiErr != nil {
		return Change{}, apiErr
	}
	var typed any = value
	switch {
	case c.row != "" && c.column == "" && c.table != "settings":
		if !json.Valid([]byte(value)) {
			return Change{}, apierror.Errorf(apierror.InvalidChange, "%s: a whole row is written as JSON", path)
		}
		return Change{Path: path, Value: json.RawMessage(value)}, nil
	case c.numeric():
		number, err := strconv.ParseFloat(value, 64)
		if err != nil || !validNumber(number) {
			return Change{}, apierror.Errorf(apierror.InvalidChange, "%s: %s is no number from 0 to %g", path, strconv.Quote(strictjson.Excerpt(value)), float64(MaxNumber))
		}
		typed = number
	case c.column == "keys":
		typed = hashFields(value)
	}
	data, err := json.Marshal(typed)
	if err != nil {
		return Change{}, apierror.Errorf(apierror.InvalidChange, "%s: %v", path, err)
	}
	return Change{Path: path, Value: data}, nil
}

// Names of the tables, as paths and JSON have them.
const (
	tableServices = "services"
	tableWeights  = "weights"
	tableTenants  = "tenants"
	tableRoutes   = "routes"
	tableLimits   = "limits"
	tableSettings = "settings"
)

type cellPath struct{ table, row, column string }

func (c cellPath) numeric() bool {
	return c.table == "weights" && c.column != "" || c.column == "rate" || c.column == "burst" || c.column == "plain_tokens"
}

var columns = map[string][]string{
	"services": {"kind", "plain_tokens"},
	"tenants":  {"rate", "burst", "home", "keys", "keys+", "keys-"},
}

func splitPath(path string) (cellPath, *apierror.Error) {
	bad := func(why string) (cellPath, *apierror.Error) {
		return cellPath{}, apierror.Errorf(apierror.InvalidChange, "%s: %s", strconv.Quote(strictjson.Excerpt(path)), why)
	}
	table, rest, ok := strings.Cut(path, ".")
	if !ok || rest == "" {
		return bad("no such cell")
	}
	if table == "settings" {
		return cellPath{table: table, row: rest}, nil
	}
	if rowSchemas[table] == nil {
		return bad("no such table; there are services, weights, tenants, routes, limits and settings")
	}
	row, column, deep := strings.Cut(rest, ".")
	if !ValidName(row) {
		return bad("its row is no name")
	}
	if !deep {
		if table == "limits" && path != limitsCell {
			return bad("the limits have one row, " + limitsCell)
		}
		return cellPath{table: table, row: row}, nil
	}
	if table == "weights" {
		if !ValidName(column) {
			return bad("its region is no name")
		}
	} else if !slices.Contains(columns[table], column) {
		return bad("no such column")
	}
	return cellPath{table, row, column}, nil
}

// Patch returns a sound sheet with the changes made in their order, and
// checked. It copies the tables and rows that change, each once, and shares the
// rest; tenants that don't change aren't checked anew. A nil sheet is empty.
func (s *Sheet) Patch(changes []Change) (*Sheet, *apierror.Error) {
	if len(changes) == 0 {
		return nil, apierror.Errorf(apierror.InvalidChange, "no changes")
	}
	if len(changes) > MaxChanges {
		return nil, apierror.Errorf(apierror.InvalidChange, "%d changes; the bound is %d", len(changes), MaxChanges)
	}
	e := editor{rows: make(map[string]bool), tenants: make(map[string]bool), seen: make(map[string]bool, len(changes))}
	if s != nil {
		e.sheet = *s
	}
	var broken rules
	for _, change := range changes {
		if why := e.make(change); why != "" {
			broken.add("%s: %s", strictjson.Excerpt(change.Path), why)
		}
	}
	if apiErr := broken.fault(apierror.InvalidChange); apiErr != nil {
		return nil, apiErr
	}
	if apiErr := e.sheet.check(sortedNames(e.tenants)); apiErr != nil {
		return nil, apiErr
	}
	return &e.sheet, nil
}

type editor struct {
	sheet  Sheet
	tables [5]bool
	// rows are the weights' rows that are the editor's own; tenants those set.
	rows    map[string]bool
	tenants map[string]bool
	seen    map[string]bool
}

func (e *editor) make(change Change) (why string) {
	c, apiErr := splitPath(change.Path)
	if apiErr != nil {
		return strings.TrimPrefix(apiErr.Detail, strconv.Quote(strictjson.Excerpt(change.Path))+": ")
	}
	step := c.column == "keys+" || c.column == "keys-"
	if e.seen[change.Path] && !step {
		return "given twice"
	}
	e.seen[change.Path] = true
	if change.Delete != (len(change.Value) == 0) {
		return "give either a value or delete"
	}
	switch c.table {
	case "services":
		return e.service(c, change)
	case "weights":
		return e.weight(c, change)
	case "tenants":
		return e.tenant(c, change)
	case "routes":
		return e.route(c, change)
	case "limits":
		return e.limits(change)
	}
	return e.setting(c, change)
}

func own[V any](e *editor, table int, m *map[string]V) {
	if !e.tables[table] {
		*m = cloned(*m)
		e.tables[table] = true
	}
}

func (e *editor) service(c cellPath, change Change) string {
	service, known := e.sheet.Services[c.row]
	if !known && (c.column != "" || change.Delete) {
		return "no such service; a new one is set as a whole row"
	}
	own(e, 0, &e.sheet.Services)
	switch {
	case c.column == "" && change.Delete:
		delete(e.sheet.Services, c.row)
		return ""
	case c.column == "":
		service = Service{}
		if why := typed(change.Value, rowSchemas["services"], &service); why != "" {
			return why
		}
	case c.column == "kind" && !change.Delete:
		if why := typed(change.Value, strictjson.String, &service.Kind); why != "" {
			return why
		}
	case c.column == "plain_tokens" && change.Delete:
		service.PlainTokens = 0
	case c.column == "plain_tokens":
		if why := typed(change.Value, strictjson.Number, &service.PlainTokens); why != "" {
			return why
		}
	default:
		return "it can't be deleted"
	}
	e.sheet.Services[c.row] = service
	return ""
}

func (e *editor) weight(c cellPath, change Change) string {
	row, known := e.sheet.Weights[c.row]
	if change.Delete {
		if _, there := row[c.column]; !known || c.column != "" && !there {
			return "no such cell"
		}
	}
	own(e, 1, &e.sheet.Weights)
	if c.column == "" && change.Delete {
		delete(e.sheet.Weights, c.row)
		return ""
	}
	if c.column == "" {
		fresh := make(map[string]float64)
		if why := typed(change.Value, rowSchemas["weights"], &fresh); why != "" {
			return why
		}
		e.sheet.Weights[c.row], e.rows[c.row] = fresh, true
		return ""
	}
	if !e.rows[c.row] || row == nil {
		row = cloned(row)
		e.sheet.Weights[c.row], e.rows[c.row] = row, true
	}
	if change.Delete {
		delete(row, c.column)
		return ""
	}
	var weight float64
	if why := typed(change.Value, strictjson.Number, &weight); why != "" {
		return why
	}
	row[c.column] = weight
	return ""
}

func (e *editor) tenant(c cellPath, change Change) string {
	tenant, known := e.sheet.Tenants[c.row]
	if !known && (c.column != "" || change.Delete) {
		return "no such tenant; a new one is set as a whole row"
	}
	own(e, 2, &e.sheet.Tenants)
	if c.column == "" && change.Delete {
		delete(e.sheet.Tenants, c.row)
		delete(e.tenants, c.row)
		return ""
	}
	why := ""
	if change.Delete {
		switch c.column {
		case "burst":
			tenant.Burst = 0
		case "home":
			tenant.Home = ""
		case "keys":
			tenant.KeyHashes = nil
		default:
			return "it can't be deleted"
		}
	} else {
		switch c.column {
		case "":
			tenant = Tenant{}
			why = typed(change.Value, rowSchemas["tenants"], &tenant)
		case "rate":
			why = typed(change.Value, strictjson.Number, &tenant.Rate)
		case "burst":
			why = typed(change.Value, strictjson.Number, &tenant.Burst)
		case "home":
			why = typed(change.Value, strictjson.String, &tenant.Home)
		case "keys":
			tenant.KeyHashes = nil
			why = typed(change.Value, strictjson.StringList, &tenant.KeyHashes)
		case "keys+", "keys-":
			tenant.KeyHashes, why = stepKeys(tenant.KeyHashes, c.column, change.Value)
		}
	}
	if why == "" {
		e.sheet.Tenants[c.row], e.tenants[c.row] = tenant, true
	}
	return why
}

func stepKeys(hashes []string, column string, value json.RawMessage) ([]string, string) {
	var hash string
	if why := typed(value, strictjson.String, &hash); why != "" {
		return hashes, why
	}
	at := slices.Index(hashes, hash)
	switch {
	case column == "keys+" && at >= 0:
		return hashes, "the key is there already"
	case column == "keys+":
		return append(slices.Clip(hashes), hash), ""
	case at < 0:
		return hashes, "no such key"
	}
	return slices.Concat(hashes[:at], hashes[at+1:]), ""
}

func (e *editor) route(c cellPath, change Change) string {
	if _, known := e.sheet.Routes[c.row]; !known && change.Delete {
		return "no such route"
	}
	own(e, 4, &e.sheet.Routes)
	if change.Delete {
		delete(e.sheet.Routes, c.row)
		return ""
	}
	var route Route
	if why := typed(change.Value, rowSchemas["routes"], &route); why != "" {
		return why
	}
	e.sheet.Routes[c.row] = route
	return ""
}

func (e *editor) limits(change Change) string {
	if change.Delete {
		e.sheet.Limits = nil
		return ""
	}
	var limits ClientLimits
	if why := typed(change.Value, rowSchemas["limits"], &limits); why != "" {
		return why
	}
	e.sheet.Limits = &limits
	return ""
}

func (e *editor) setting(c cellPath, change Change) string {
	if _, known := e.sheet.Settings[c.row]; !known && change.Delete {
		return "no such setting"
	}
	own(e, 3, &e.sheet.Settings)
	if change.Delete {
		delete(e.sheet.Settings, c.row)
		return ""
	}
	var value string
	if why := typed(change.Value, strictjson.String, &value); why != "" {
		return why
	}
	e.sheet.Settings[c.row] = value
	return ""
}

func typed(value json.RawMessage, schema *strictjson.Schema, into any) string {
	if apiErr := strictjson.Validate(value, schema, apierror.InvalidChange); apiErr != nil {
		return apiErr.Detail
	}
	if err := json.NewDecoder(bytes.NewReader(value)).Decode(into); err != nil {
		return "its value is out of bounds"
	}
	return ""
}

// cloned returns a copy of a table that may be written; of nil, an empty one.
func cloned[V any](table map[string]V) map[string]V {
	if table == nil {
		return make(map[string]V)
	}
	return maps.Clone(table)
}
