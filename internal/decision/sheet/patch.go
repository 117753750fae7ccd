package sheet

import (
	"bytes"
	"encoding/json"
	"slices"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/strictjson"
)

// Patch returns a sheet with the changes made in their order, and checked. It
// copies the tables and rows that change, each once, and shares the rest;
// tenants that don't change aren't checked again, which is why the receiver must
// be valid. A nil sheet is empty.
func (s *Sheet) Patch(changes []Change) (*Sheet, *apierror.Error) {
	if len(changes) == 0 {
		return nil, apierror.Errorf(apierror.InvalidChange, "no changes")
	}
	if len(changes) > MaxChanges {
		return nil, apierror.Errorf(apierror.InvalidChange, "%d changes; the bound is %d", len(changes), MaxChanges)
	}
	edited := newEditor(s, len(changes))
	var broken violations
	for _, change := range changes {
		if problem := edited.apply(change); problem != "" {
			broken.add("%s: %s", excerpt(change.Path), problem)
		}
	}
	if apiErr := broken.apiError(apierror.InvalidChange); apiErr != nil {
		return nil, apiErr
	}
	if apiErr := edited.sheet.check(sortedNames(edited.changedTenants)); apiErr != nil {
		return nil, apiErr
	}
	return &edited.sheet, nil
}

// editor applies changes to a sheet of which it copies what it writes. Its
// methods return what is wrong with a change, or an empty text.
type editor struct {
	sheet Sheet
	// copiedTables and copiedWeights name the tables and rows of weights that
	// are the editor's own and may be written.
	copiedTables  map[string]bool
	copiedWeights map[string]bool
	// changedTenants names the tenants that must be checked.
	changedTenants map[string]bool
	seen           map[string]bool
}

func newEditor(s *Sheet, changes int) *editor {
	e := &editor{
		copiedTables:   make(map[string]bool),
		copiedWeights:  make(map[string]bool),
		changedTenants: make(map[string]bool),
		seen:           make(map[string]bool, changes),
	}
	if s != nil {
		e.sheet = *s
	}
	return e
}

func (e *editor) apply(change Change) (problem string) {
	path, problem := splitPath(change.Path)
	if problem != "" {
		return problem
	}
	// A patch may add and remove several keys of one tenant.
	mayRepeat := path.column == columnAddKey || path.column == columnRemoveKey
	if e.seen[change.Path] && !mayRepeat {
		return "given twice"
	}
	e.seen[change.Path] = true
	if !change.isComplete() {
		return "give either a value or delete"
	}
	switch path.table {
	case tableServices:
		return e.editService(path, change)
	case tableWeights:
		return e.editWeights(path, change)
	case tableTenants:
		return e.editTenant(path, change)
	case tableRoutes:
		return editRow(e, path, &e.sheet.Routes, change, routeSchema, "no such route")
	case tableLimits:
		return e.editLimits(change)
	}
	return editRow(e, path, &e.sheet.Settings, change, strictjson.String, "no such setting")
}

// makeWritable copies a table before its first change.
func makeWritable[V any](e *editor, table string, rows *map[string]V) {
	if !e.copiedTables[table] {
		*rows = cloned(*rows)
		e.copiedTables[table] = true
	}
}

// editRow sets or deletes a row that is one value.
func editRow[V any](editor *editor, path cellPath, rows *map[string]V, change Change, schema *strictjson.Schema, unknown string) string {
	if _, known := (*rows)[path.row]; !known && change.Delete {
		return unknown
	}
	makeWritable(editor, path.table, rows)
	if change.Delete {
		delete(*rows, path.row)
		return ""
	}
	var row V
	if problem := decodeValue(change.Value, schema, &row); problem != "" {
		return problem
	}
	(*rows)[path.row] = row
	return ""
}

func (e *editor) editService(path cellPath, change Change) string {
	service, known := e.sheet.Services[path.row]
	if !known && (path.column != "" || change.Delete) {
		return "no such service; a new one is set as a whole row"
	}
	makeWritable(e, tableServices, &e.sheet.Services)
	if path.column == "" && change.Delete {
		delete(e.sheet.Services, path.row)
		return ""
	}
	if problem := service.edit(path.column, change); problem != "" {
		return problem
	}
	e.sheet.Services[path.row] = service
	return ""
}

// edit sets or clears a column; the empty column is the whole row.
func (s *Service) edit(column string, change Change) (problem string) {
	switch {
	case column == "":
		*s = Service{}
		return decodeValue(change.Value, serviceSchema, s)
	case column == columnPlainTokens && change.Delete:
		s.PlainTokens = 0
		return ""
	case column == columnPlainTokens:
		return decodeValue(change.Value, strictjson.Number, &s.PlainTokens)
	case column == columnKind && !change.Delete:
		return decodeValue(change.Value, strictjson.String, &s.Kind)
	}
	return cannotDelete
}

// cannotDelete is what is wrong with deleting a cell that every row has.
const cannotDelete = "it can't be deleted"

func (e *editor) editWeights(path cellPath, change Change) string {
	weights, known := e.sheet.Weights[path.row]
	if change.Delete {
		if _, hasRegion := weights[path.column]; !known || path.column != "" && !hasRegion {
			return "no such cell"
		}
	}
	makeWritable(e, tableWeights, &e.sheet.Weights)
	if path.column == "" {
		return e.editAllWeights(path.row, change)
	}
	if !e.copiedWeights[path.row] || weights == nil {
		weights = cloned(weights)
		e.sheet.Weights[path.row] = weights
		e.copiedWeights[path.row] = true
	}
	if change.Delete {
		delete(weights, path.column)
		return ""
	}
	var weight float64
	if problem := decodeValue(change.Value, strictjson.Number, &weight); problem != "" {
		return problem
	}
	weights[path.column] = weight
	return ""
}

// editAllWeights sets or deletes all the weights of a service.
func (e *editor) editAllWeights(service string, change Change) string {
	if change.Delete {
		delete(e.sheet.Weights, service)
		return ""
	}
	weights := make(map[string]float64)
	if problem := decodeValue(change.Value, weightsSchema, &weights); problem != "" {
		return problem
	}
	e.sheet.Weights[service] = weights
	e.copiedWeights[service] = true
	return ""
}

func (e *editor) editTenant(path cellPath, change Change) string {
	tenant, known := e.sheet.Tenants[path.row]
	if !known && (path.column != "" || change.Delete) {
		return "no such tenant; a new one is set as a whole row"
	}
	makeWritable(e, tableTenants, &e.sheet.Tenants)
	if path.column == "" && change.Delete {
		delete(e.sheet.Tenants, path.row)
		delete(e.changedTenants, path.row)
		return ""
	}
	problem := ""
	if change.Delete {
		problem = tenant.clear(path.column)
	} else {
		problem = tenant.set(path.column, change.Value)
	}
	if problem == "" {
		e.sheet.Tenants[path.row] = tenant
		e.changedTenants[path.row] = true
	}
	return problem
}

// clear empties a column.
func (t *Tenant) clear(column string) (problem string) {
	switch column {
	case columnBurst:
		t.Burst = 0
	case columnHome:
		t.Home = ""
	case columnKeys:
		t.KeyHashes = nil
	default:
		return cannotDelete
	}
	return ""
}

// set sets a column; the empty column is the whole row.
func (t *Tenant) set(column string, value json.RawMessage) (problem string) {
	switch column {
	case "":
		*t = Tenant{}
		return decodeValue(value, tenantSchema, t)
	case columnRate:
		return decodeValue(value, strictjson.Number, &t.Rate)
	case columnBurst:
		return decodeValue(value, strictjson.Number, &t.Burst)
	case columnHome:
		return decodeValue(value, strictjson.String, &t.Home)
	case columnKeys:
		// The array is shared with the sheet before: it must not be decoded into.
		t.KeyHashes = nil
		return decodeValue(value, strictjson.StringList, &t.KeyHashes)
	case columnAddKey:
		return t.addKey(value)
	case columnRemoveKey:
		return t.removeKey(value)
	}
	return ""
}

func (t *Tenant) addKey(value json.RawMessage) (problem string) {
	var hash string
	if problem := decodeValue(value, strictjson.String, &hash); problem != "" {
		return problem
	}
	if slices.Contains(t.KeyHashes, hash) {
		return "the key is there already"
	}
	t.KeyHashes = append(slices.Clip(t.KeyHashes), hash)
	return ""
}

func (t *Tenant) removeKey(value json.RawMessage) (problem string) {
	var hash string
	if problem := decodeValue(value, strictjson.String, &hash); problem != "" {
		return problem
	}
	at := slices.Index(t.KeyHashes, hash)
	if at < 0 {
		return "no such key"
	}
	t.KeyHashes = slices.Concat(t.KeyHashes[:at], t.KeyHashes[at+1:])
	return ""
}

func (e *editor) editLimits(change Change) string {
	if change.Delete {
		e.sheet.Limits = nil
		return ""
	}
	var limits ClientLimits
	if problem := decodeValue(change.Value, limitsSchema, &limits); problem != "" {
		return problem
	}
	e.sheet.Limits = &limits
	return ""
}

// decodeValue decodes the JSON of one cell or row, or returns what is wrong
// with it.
func decodeValue(value json.RawMessage, schema *strictjson.Schema, into any) (problem string) {
	if apiErr := strictjson.Validate(value, schema, apierror.InvalidChange); apiErr != nil {
		return apiErr.Detail
	}
	if err := json.NewDecoder(bytes.NewReader(value)).Decode(into); err != nil {
		return "its value is out of bounds"
	}
	return ""
}
