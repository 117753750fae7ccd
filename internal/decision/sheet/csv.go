package sheet

import (
	"bytes"
	"encoding/csv"
	"encoding/json"
	"io"
	"slices"
	"strconv"
	"strings"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/strictjson"

	"github.com/pkg/errors"
)

var csvHeader = []string{"cell", "value"}

// byteOrderMark precedes the text in files that some spreadsheets write.
const byteOrderMark = "\ufeff"

// ExportCSV returns the sheet as CSV with the columns cell and value, one row a
// cell.
func (s *Sheet) ExportCSV() []byte {
	var out bytes.Buffer
	writer := csv.NewWriter(&out)
	_ = writer.Write(csvHeader)
	for _, cell := range s.Cells() {
		_ = writer.Write([]string{cell.Path, cell.Value})
	}
	writer.Flush()
	return out.Bytes()
}

// ImportCSV reads what ExportCSV wrote, from at most limit bytes, and checks
// it. Rows may be in any order; an empty value leaves the cell unset. The error
// names the lines that are wrong.
func ImportCSV(data []byte, limit int) (*Sheet, *apierror.Error) {
	if len(data) > limit {
		return nil, apierror.Errorf(apierror.SheetTooLarge, "%d bytes; the bound is %d", len(data), limit)
	}
	reader := csv.NewReader(bytes.NewReader(bytes.TrimPrefix(data, []byte(byteOrderMark))))
	reader.FieldsPerRecord = len(csvHeader)
	header, err := reader.Read()
	if err != nil || !slices.Equal(header, csvHeader) {
		return nil, apierror.Errorf(apierror.InvalidSheet, "the first row must be cell,value")
	}
	imported := newImporter()
	if apiErr := imported.readRows(reader); apiErr != nil {
		return nil, apiErr
	}
	if apiErr := imported.sheet.Check(); apiErr != nil {
		return nil, apiErr
	}
	return &imported.sheet, nil
}

// importer builds a sheet from cells.
type importer struct {
	sheet Sheet
	seen  map[string]bool
}

func newImporter() *importer {
	return &importer{
		sheet: Sheet{
			Services: make(map[string]Service),
			Weights:  make(map[string]map[string]float64),
			Tenants:  make(map[string]Tenant),
			Settings: make(map[string]string),
			Routes:   make(map[string]Route),
		},
		seen: make(map[string]bool),
	}
}

func (i *importer) readRows(reader *csv.Reader) *apierror.Error {
	var broken violations
	for {
		row, err := reader.Read()
		if errors.Is(err, io.EOF) {
			return broken.apiError(apierror.InvalidSheet)
		}
		if err != nil {
			return apierror.Errorf(apierror.InvalidSheet, "%v", err)
		}
		if problem := i.setText(strings.TrimSpace(row[0]), strings.TrimSpace(row[1])); problem != "" {
			line, _ := reader.FieldPos(0)
			broken.add("line %d: %s: %s", line, excerpt(row[0]), problem)
		}
	}
}

// setText sets the cell of a path to a value written as text.
func (i *importer) setText(text, value string) (problem string) {
	path, problem := splitPath(text)
	if problem != "" {
		return "no such cell"
	}
	if i.seen[text] {
		return "given twice"
	}
	i.seen[text] = true
	switch {
	case path.table == tableSettings:
		i.sheet.Settings[path.row] = value
		return ""
	case value == "":
		return ""
	case path.table == tableWeights && path.column == "":
		return "not one cell"
	case path.isRow():
		return i.setRow(path, json.RawMessage(value))
	case path.isNumeric():
		return i.setNumber(path, value)
	}
	return i.setString(path, value)
}

func (i *importer) setNumber(path cellPath, value string) (problem string) {
	number, err := strconv.ParseFloat(value, 64)
	if err != nil || !validNumber(number) {
		return quoted(value) + " is no number from 0 to 1e12"
	}
	if path.table == tableWeights {
		if i.sheet.Weights[path.row] == nil {
			i.sheet.Weights[path.row] = make(map[string]float64)
		}
		i.sheet.Weights[path.row][path.column] = number
		return ""
	}
	switch path.column {
	case columnPlainTokens:
		updateRow(i.sheet.Services, path.row, func(service *Service) { service.PlainTokens = number })
	case columnRate:
		updateRow(i.sheet.Tenants, path.row, func(tenant *Tenant) { tenant.Rate = number })
	case columnBurst:
		updateRow(i.sheet.Tenants, path.row, func(tenant *Tenant) { tenant.Burst = number })
	}
	return ""
}

func (i *importer) setString(path cellPath, value string) (problem string) {
	switch path.column {
	case columnKind:
		updateRow(i.sheet.Services, path.row, func(service *Service) { service.Kind = value })
	case columnHome:
		updateRow(i.sheet.Tenants, path.row, func(tenant *Tenant) { tenant.Home = value })
	case columnKeys:
		updateRow(i.sheet.Tenants, path.row, func(tenant *Tenant) { tenant.KeyHashes = splitHashes(value) })
	default:
		return "not one cell"
	}
	return ""
}

// updateRow changes a row, which is added where there is none.
func updateRow[V any](rows map[string]V, name string, update func(*V)) {
	row := rows[name]
	update(&row)
	rows[name] = row
}

// setRow sets a row that is written as one cell.
func (i *importer) setRow(path cellPath, value json.RawMessage) (problem string) {
	switch path.table {
	case tableServices:
		return importRow(i.sheet.Services, path.row, value, serviceSchema)
	case tableTenants:
		return importRow(i.sheet.Tenants, path.row, value, tenantSchema)
	case tableRoutes:
		return importRow(i.sheet.Routes, path.row, value, routeSchema)
	}
	i.sheet.Limits = &ClientLimits{}
	return decodeValue(value, limitsSchema, i.sheet.Limits)
}

func importRow[V any](rows map[string]V, name string, value json.RawMessage, schema *strictjson.Schema) (problem string) {
	var row V
	problem = decodeValue(value, schema, &row)
	rows[name] = row
	return problem
}
