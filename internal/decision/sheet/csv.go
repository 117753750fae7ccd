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

// byteOrderMark starts the files that some spreadsheet programs write.
const byteOrderMark = "\ufeff"

// ExportCSV returns the sheet as CSV with the columns cell and value, one row per
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

// ImportCSV decodes a sheet from at most limit bytes of CSV in the format of
// ExportCSV, and checks it. Rows may be in any order. An empty value leaves the
// cell unset, except for a setting, which is set to the empty string. The error
// names the invalid lines.
func ImportCSV(data []byte, limit int) (*Sheet, *apierror.Error) {
	if len(data) > limit {
		return nil, apierror.Errorf(apierror.SheetTooLarge, "CSV of %d bytes exceeds the limit of %d bytes", len(data), limit)
	}
	reader := csv.NewReader(bytes.NewReader(bytes.TrimPrefix(data, []byte(byteOrderMark))))
	reader.FieldsPerRecord = len(csvHeader)
	header, err := reader.Read()
	if err != nil || !slices.Equal(header, csvHeader) {
		return nil, apierror.Errorf(apierror.InvalidSheet, "the first row must be cell,value")
	}
	importer := newCSVImporter()
	if apiErr := importer.readRows(reader); apiErr != nil {
		return nil, apiErr
	}
	if apiErr := importer.sheet.Check(); apiErr != nil {
		return nil, apiErr
	}
	return &importer.sheet, nil
}

// csvImporter builds a sheet from the cells of a CSV file.
type csvImporter struct {
	sheet Sheet
	seen  map[string]bool
}

func newCSVImporter() *csvImporter {
	return &csvImporter{
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

func (i *csvImporter) readRows(reader *csv.Reader) *apierror.Error {
	var violations violationList
	for {
		row, err := reader.Read()
		if errors.Is(err, io.EOF) {
			return violations.apiError(apierror.InvalidSheet)
		}
		if err != nil {
			return apierror.Errorf(apierror.InvalidSheet, "%v", err)
		}
		if problem := i.setText(strings.TrimSpace(row[0]), strings.TrimSpace(row[1])); problem != "" {
			line, _ := reader.FieldPos(0)
			violations.addf("line %d: %s: %s", line, excerpt(row[0]), problem)
		}
	}
}

// setText sets a cell, addressed by its path, to a value given as text.
func (i *csvImporter) setText(cell, value string) (problem string) {
	path, problem := splitPath(cell)
	if problem != "" {
		return "no such cell"
	}
	if i.seen[cell] {
		return "given twice"
	}
	i.seen[cell] = true
	switch {
	case path.table == tableSettings:
		i.sheet.Settings[path.row] = value
		return ""
	case value == "":
		return ""
	case path.table == tableWeights && path.column == "":
		return "not a cell that CSV can set"
	case path.isRow():
		return i.setRow(path, json.RawMessage(value))
	case path.isNumeric():
		return i.setNumber(path, value)
	}
	return i.setString(path, value)
}

func (i *csvImporter) setNumber(path cellPath, value string) (problem string) {
	number, err := strconv.ParseFloat(value, 64)
	if err != nil || !validNumber(number) {
		return quoted(value) + " is not a number from 0 to 1e12"
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
		updateRow(i.sheet.Services, path.row, func(service *Service) { service.OneShotTokens = number })
	case columnRate:
		updateRow(i.sheet.Tenants, path.row, func(tenant *Tenant) { tenant.Rate = number })
	case columnBurst:
		updateRow(i.sheet.Tenants, path.row, func(tenant *Tenant) { tenant.Burst = number })
	}
	return ""
}

func (i *csvImporter) setString(path cellPath, value string) (problem string) {
	switch path.column {
	case columnKind:
		updateRow(i.sheet.Services, path.row, func(service *Service) { service.Kind = value })
	case columnHome:
		updateRow(i.sheet.Tenants, path.row, func(tenant *Tenant) { tenant.HomeRegion = value })
	case columnKeys:
		updateRow(i.sheet.Tenants, path.row, func(tenant *Tenant) { tenant.KeyHashes = splitHashes(value) })
	default:
		return "not a cell that CSV can set"
	}
	return ""
}

// updateRow updates a row in place, adding it if it does not exist.
func updateRow[V any](rows map[string]V, name string, update func(*V)) {
	row := rows[name]
	update(&row)
	rows[name] = row
}

// setRow sets a row whose value is given as one JSON cell.
func (i *csvImporter) setRow(path cellPath, value json.RawMessage) (problem string) {
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
