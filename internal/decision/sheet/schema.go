package sheet

import (
	"stepwick/internal/apierror"
	"stepwick/internal/decision/strictjson"
)

// Schema describes the JSON of a Sheet.
var Schema = strictjson.Record(strictjson.Fields{
	tableServices: strictjson.Map(serviceSchema),
	tableWeights:  strictjson.Map(weightsSchema),
	tableTenants:  strictjson.Map(tenantSchema),
	tableSettings: strictjson.Map(strictjson.String),
	tableRoutes:   strictjson.Map(routeSchema),
	tableLimits:   limitsSchema,
	"origin":      strictjson.Opaque,
}).WithCode(apierror.InvalidSheet)

// ChangesSchema describes the JSON list of the changes of a patch.
var ChangesSchema = strictjson.List(strictjson.Record(strictjson.Fields{
	"path":   strictjson.String,
	"value":  strictjson.Any,
	"delete": strictjson.Bool,
})).WithCode(apierror.InvalidChange)

// RemovalSchema describes the JSON of a Removal.
var RemovalSchema = strictjson.Record(strictjson.Fields{
	tableRoutes:   strictjson.StringList,
	tableServices: strictjson.StringList,
	tableTenants:  strictjson.StringList,
})

// Schemas of the rows of each table.
var (
	serviceSchema = strictjson.Record(strictjson.Fields{
		"kind":            strictjson.String,
		"plain_tokens":    strictjson.Number,
		"health_path":     strictjson.String,
		"max_connections": strictjson.Number,
		"cold_per_second": strictjson.Number,
		"cold_ms":         strictjson.Number,
		"origin":          strictjson.Opaque,
	})
	weightsSchema = strictjson.Map(strictjson.Number)
	tenantSchema  = strictjson.Record(strictjson.Fields{
		"rate":         strictjson.Number,
		"burst":        strictjson.Number,
		"home":         strictjson.String,
		"keys":         strictjson.StringList,
		"priority":     strictjson.Number,
		"unit":         strictjson.String,
		"plain_tokens": strictjson.Number,
		"homes":        strictjson.StringList,
		"origin":       strictjson.Opaque,
	})
	routeSchema = strictjson.Record(strictjson.Fields{
		"host":         strictjson.String,
		"prefix":       strictjson.String,
		"kind":         strictjson.String,
		"splits":       strictjson.List(splitSchema),
		"timeout_ms":   strictjson.Number,
		"objective_ms": strictjson.Number,
		"gap_ms":       strictjson.Number,
		"priority":     strictjson.Number,
		"attempts":     strictjson.Number,
		"public":       strictjson.Bool,
		"affinity":     strictjson.Bool,
		"resumable":    strictjson.Bool,
		"homes":        strictjson.StringList,
		"origin":       strictjson.Opaque,
	})
	splitSchema = strictjson.Record(strictjson.Fields{
		"service": strictjson.String,
		"weight":  strictjson.Number,
	})
	limitsSchema = strictjson.Record(strictjson.Fields{
		"header_bytes":      strictjson.Number,
		"body_bytes":        strictjson.Number,
		"header_timeout_ms": strictjson.Number,
		"idle_timeout_ms":   strictjson.Number,
		"origin":            strictjson.Opaque,
	})
)
