package sheet

import (
	"bytes"
	"encoding/json"
	"slices"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/strictjson"
)

// Patch applies the changes in order to a copy of the sheet, checks the copy and
// returns it. It copies each table and row that changes once and shares the rest
// with the receiver. Tenants that do not change are not checked again, so the
// receiver must be valid. A nil receiver is an empty sheet.
func (s *Sheet) Patch(changes []Change) (*Sheet, *apierror.Error) {
	if len(changes) == 0 {
		return nil, apierror.Errorf(apierror.InvalidChange, "the patch has no changes")
	}
	if len(changes) > MaxChanges {
		return nil, apierror.Errorf(apierror.InvalidChange, "%d changes exceed the limit of %d", len(changes), MaxChanges)
	}
	editor := newSheetEditor(s, len(changes))
	var violations violationList
	for _, change := range changes {
		if problem := editor.apply(change); problem != "" {
			violations.addf("%s: %s", excerpt(change.Path), problem)
		}
	}
	if apiErr := violations.apiError(apierror.InvalidChange); apiErr != nil {
		return nil, apiErr
	}
	if apiErr := editor.sheet.check(sortedNames(editor.changedTenants)); apiErr != nil {
		return nil, apiErr
	}
	return &editor.sheet, nil
}

// sheetEditor applies changes to a sheet and copies tables and rows before it
// writes to them. Its methods return a description of what is wrong with a change,
// or an empty string.
type sheetEditor struct {
	sheet Sheet
	// copiedTables and copiedWeights contain the names of the tables and of the
	// rows of weights that have been copied and may be written to.
	copiedTables  map[string]bool
	copiedWeights map[string]bool
	// changedTenants contains the names of the tenants that must be checked.
	changedTenants map[string]bool
	// seen contains the paths of the changes applied so far.
	seen map[string]bool
}

func newSheetEditor(s *Sheet, changes int) *sheetEditor {
	e := &sheetEditor{
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

func (e *sheetEditor) apply(change Change) (problem string) {
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
	if !change.isWellFormed() {
		return "must have either a value or delete"
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

// makeWritable copies a table unless it has already been copied.
func makeWritable[V any](e *sheetEditor, table string, rows *map[string]V) {
	if !e.copiedTables[table] {
		*rows = cloneOrNew(*rows)
		e.copiedTables[table] = true
	}
}

// editRow sets or deletes a row that has no separate cells.
func editRow[V any](editor *sheetEditor, path cellPath, rows *map[string]V, change Change, schema *strictjson.Schema, notFoundProblem string) string {
	if _, exists := (*rows)[path.row]; !exists && change.Delete {
		return notFoundProblem
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

func (e *sheetEditor) editService(path cellPath, change Change) string {
	service, exists := e.sheet.Services[path.row]
	if !exists && (path.column != "" || change.Delete) {
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

// edit sets or clears a column. The empty column stands for the whole row.
func (s *Service) edit(column string, change Change) (problem string) {
	switch {
	case column == "":
		*s = Service{}
		return decodeValue(change.Value, serviceSchema, s)
	case column == columnPlainTokens && change.Delete:
		s.OneShotTokens = 0
		return ""
	case column == columnPlainTokens:
		return decodeValue(change.Value, strictjson.Number, &s.OneShotTokens)
	case column == columnKind && !change.Delete:
		return decodeValue(change.Value, strictjson.String, &s.Kind)
	}
	return cannotDeleteProblem
}

// cannotDeleteProblem describes an attempt to delete a cell that every row must
// have.
const cannotDeleteProblem = "this cell can't be deleted"

func (e *sheetEditor) editWeights(path cellPath, change Change) string {
	weights, exists := e.sheet.Weights[path.row]
	if change.Delete {
		if _, hasRegion := weights[path.column]; !exists || path.column != "" && !hasRegion {
			return "no such cell"
		}
	}
	makeWritable(e, tableWeights, &e.sheet.Weights)
	if path.column == "" {
		return e.editAllWeights(path.row, change)
	}
	if !e.copiedWeights[path.row] || weights == nil {
		weights = cloneOrNew(weights)
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

// editAllWeights sets or deletes all weights of a service.
func (e *sheetEditor) editAllWeights(service string, change Change) string {
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

func (e *sheetEditor) editTenant(path cellPath, change Change) string {
	tenant, exists := e.sheet.Tenants[path.row]
	if !exists && (path.column != "" || change.Delete) {
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

// clear resets an optional column.
func (t *Tenant) clear(column string) (problem string) {
	switch column {
	case columnBurst:
		t.Burst = 0
	case columnHome:
		t.HomeRegion = ""
	case columnKeys:
		t.KeyHashes = nil
	default:
		return cannotDeleteProblem
	}
	return ""
}

// set sets a column. The empty column stands for the whole row.
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
		return decodeValue(value, strictjson.String, &t.HomeRegion)
	case columnKeys:
		// The slice shares its array with the original sheet: decoding into it would
		// modify that sheet.
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
		return "the tenant already has this key"
	}
	t.KeyHashes = append(slices.Clip(t.KeyHashes), hash)
	return ""
}

func (t *Tenant) removeKey(value json.RawMessage) (problem string) {
	var hash string
	if problem := decodeValue(value, strictjson.String, &hash); problem != "" {
		return problem
	}
	index := slices.Index(t.KeyHashes, hash)
	if index < 0 {
		return "no such key"
	}
	t.KeyHashes = slices.Concat(t.KeyHashes[:index], t.KeyHashes[index+1:])
	return ""
}

func (e *sheetEditor) editLimits(change Change) string {
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

// decodeValue decodes the JSON of one cell or row into target. It returns a
// description of what is wrong with the value, or an empty string.
func decodeValue(value json.RawMessage, schema *strictjson.Schema, target any) (problem string) {
	if apiErr := strictjson.Validate(value, schema, apierror.InvalidChange); apiErr != nil {
		return apiErr.Detail
	}
	if err := json.NewDecoder(bytes.NewReader(value)).Decode(target); err != nil {
		return "the value is out of bounds or not an integer"
	}
	return ""
}
