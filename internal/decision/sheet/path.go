package sheet

import (
	"slices"
	"strconv"
	"strings"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/strictjson"
)

// Names of the tables, as paths and JSON have them.
const (
	tableServices = "services"
	tableWeights  = "weights"
	tableTenants  = "tenants"
	tableRoutes   = "routes"
	tableLimits   = "limits"
	tableSettings = "settings"
)

// rowTables are the tables whose rows are JSON values: all but the settings,
// whose cells are texts.
var rowTables = []string{tableServices, tableWeights, tableTenants, tableRoutes, tableLimits}

// limitsPath is the only row of the limits of clients.
const limitsPath = tableLimits + ".clients"

// Names of the columns that are cells of their own.
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

// columns has the columns of the tables whose rows have any.
var columns = map[string][]string{
	tableServices: {columnKind, columnPlainTokens},
	tableTenants:  {columnRate, columnBurst, columnHome, columnKeys, columnAddKey, columnRemoveKey},
}

// cellPath is a parsed path. The column is empty where the path is a whole
// row's; a weight's column is its region.
type cellPath struct{ table, row, column string }

// parsePath parses the path of a cell or row; the error names it.
func parsePath(path string) (cellPath, *apierror.Error) {
	parsed, problem := splitPath(path)
	if problem != "" {
		return cellPath{}, apierror.Errorf(apierror.InvalidChange, "%s: %s", quoted(path), problem)
	}
	return parsed, nil
}

// splitPath parses a path, or returns what is wrong with it.
func splitPath(path string) (parsed cellPath, problem string) {
	table, rest, ok := strings.Cut(path, ".")
	if !ok || rest == "" {
		return cellPath{}, "no such cell"
	}
	if table == tableSettings {
		// Names of settings contain dots.
		return cellPath{table: table, row: rest}, ""
	}
	if !slices.Contains(rowTables, table) {
		return cellPath{}, "no such table; there are services, weights, tenants, routes, limits and settings"
	}
	row, column, hasColumn := strings.Cut(rest, ".")
	if !ValidName(row) {
		return cellPath{}, "its row is no name"
	}
	if !hasColumn {
		if table == tableLimits && path != limitsPath {
			return cellPath{}, "the limits have one row, " + limitsPath
		}
		return cellPath{table: table, row: row}, ""
	}
	if table == tableWeights {
		if !ValidName(column) {
			return cellPath{}, "its region is no name"
		}
	} else if !slices.Contains(columns[table], column) {
		return cellPath{}, "no such column"
	}
	return cellPath{table: table, row: row, column: column}, ""
}

// isRow reports whether the path is that of a whole row, which is JSON.
func (p cellPath) isRow() bool {
	return p.row != "" && p.column == "" && p.table != tableSettings
}

// isNumeric reports whether the cell is a number.
func (p cellPath) isNumeric() bool {
	if p.table == tableWeights {
		return p.column != ""
	}
	return p.column == columnRate || p.column == columnBurst || p.column == columnPlainTokens
}

// quoted returns a text that came from outside for use in an error.
func quoted(text string) string { return strconv.Quote(excerpt(text)) }

func excerpt(text string) string { return strictjson.Excerpt(text) }
