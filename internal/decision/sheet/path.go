package sheet

import (
	"slices"
	"strconv"
	"strings"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/strictjson"
)

// Names of the tables in paths and in JSON.
const (
	tableServices = "services"
	tableWeights  = "weights"
	tableTenants  = "tenants"
	tableRoutes   = "routes"
	tableLimits   = "limits"
	tableSettings = "settings"
)

// rowTables lists the tables whose rows are JSON values. Settings are not among
// them: their values are strings.
var rowTables = []string{tableServices, tableWeights, tableTenants, tableRoutes, tableLimits}

// limitsPath is the path of the only row of the limits table.
const limitsPath = tableLimits + ".clients"

// Names of the columns that a path can address as separate cells.
const (
	columnKind        = "kind"
	columnPlainTokens = "plain_tokens"
	columnRate        = "rate"
	columnBurst       = "burst"
	columnHome        = "home"
	columnKeys        = "keys"
	columnAddKey      = "keys+" // adds one hash
	columnRemoveKey   = "keys-" // removes one hash
)

// columns lists, by table, the columns that a path can address.
var columns = map[string][]string{
	tableServices: {columnKind, columnPlainTokens},
	tableTenants:  {columnRate, columnBurst, columnHome, columnKeys, columnAddKey, columnRemoveKey},
}

// cellPath is a parsed path. The column is empty if the path addresses a whole
// row. The column of a weight is its region.
type cellPath struct{ table, row, column string }

// parsePath parses the path of a cell or row. The error includes the path.
func parsePath(path string) (cellPath, *apierror.Error) {
	parsed, problem := splitPath(path)
	if problem != "" {
		return cellPath{}, apierror.Errorf(apierror.InvalidChange, "%s: %s", quoted(path), problem)
	}
	return parsed, nil
}

// splitPath parses a path, or returns a description of what is wrong with it.
func splitPath(path string) (parsed cellPath, problem string) {
	table, rest, ok := strings.Cut(path, ".")
	if !ok || rest == "" {
		return cellPath{}, "no such cell"
	}
	if table == tableSettings {
		// The names of settings contain dots.
		return cellPath{table: table, row: rest}, ""
	}
	if !slices.Contains(rowTables, table) {
		return cellPath{}, "no such table; the tables are services, weights, tenants, routes, limits and settings"
	}
	row, column, hasColumn := strings.Cut(rest, ".")
	if !ValidName(row) {
		return cellPath{}, "the row is not a valid name"
	}
	if !hasColumn {
		if table == tableLimits && path != limitsPath {
			return cellPath{}, "the only row of the limits is " + limitsPath
		}
		return cellPath{table: table, row: row}, ""
	}
	if table == tableWeights {
		if !ValidName(column) {
			return cellPath{}, "the region is not a valid name"
		}
	} else if !slices.Contains(columns[table], column) {
		return cellPath{}, "no such column"
	}
	return cellPath{table: table, row: row, column: column}, ""
}

// isRow reports whether the path addresses a whole row, whose value is JSON.
func (p cellPath) isRow() bool {
	return p.row != "" && p.column == "" && p.table != tableSettings
}

// isNumeric reports whether the value of the cell is a number.
func (p cellPath) isNumeric() bool {
	if p.table == tableWeights {
		return p.column != ""
	}
	return p.column == columnRate || p.column == columnBurst || p.column == columnPlainTokens
}

// quoted returns untrusted input, shortened and quoted for use in an error.
func quoted(text string) string { return strconv.Quote(excerpt(text)) }

func excerpt(text string) string { return strictjson.Excerpt(text) }
