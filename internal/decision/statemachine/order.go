package statemachine

import (
	"strconv"
	"unicode/utf8"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/sheet"
	"stepwick/internal/decision/strictjson"
)

// MaxOrderID bounds an order's id in bytes.
const MaxOrderID = 256

// Limits bounds an order's body in bytes. Setting, where it is given, checks a
// run-time setting's name and value before an order is proposed.
type Limits struct {
	Bytes   int
	Setting func(name, value string) error
}

// orderSchemas has the form of each order's body, by verb.
var orderSchemas = map[string]*strictjson.Schema{
	sheet.VerbPut: strictjson.Record(strictjson.Fields{
		"order_id":      strictjson.String,
		"base":          strictjson.Number,
		"sheet":         sheet.Schema,
		"revision":      strictjson.Number,
		"base_revision": strictjson.Number,
	}),
	sheet.VerbPatch: strictjson.Record(strictjson.Fields{
		"order_id": strictjson.String,
		"base":     strictjson.Number,
		"changes":  sheet.ChangesSchema,
	}),
	sheet.VerbMerge: strictjson.Record(strictjson.Fields{
		"order_id":      strictjson.String,
		"base":          strictjson.Number,
		"revision":      strictjson.Number,
		"base_revision": strictjson.Number,
		"upsert":        sheet.Schema,
		"remove":        sheet.RemovalSchema,
	}),
	sheet.VerbEvacuate: zoneOrderSchema,
	sheet.VerbRestore:  zoneOrderSchema,
	VerbRemove: strictjson.Record(strictjson.Fields{
		"order_id": strictjson.String,
		"names":    strictjson.StringList,
	}),
}

// zoneOrderSchema is the form of an order that concerns a region or zone.
var zoneOrderSchema = strictjson.Record(strictjson.Fields{
	"order_id": strictjson.String,
	"locality": strictjson.String,
})

type orderBody struct {
	OrderID  string         `json:"order_id"`
	Base     *uint64        `json:"base"`
	Revision uint64         `json:"revision"`
	OnRev    uint64         `json:"base_revision"`
	Sheet    *sheet.Sheet   `json:"sheet"`
	Upsert   *sheet.Sheet   `json:"upsert"`
	Remove   sheet.Removal  `json:"remove"`
	Changes  []sheet.Change `json:"changes"`
	Zone     string         `json:"locality"`
	Names    []string       `json:"names"`
}

// ParseOrder reads the JSON body of an operator's put, patch, evacuate, restore
// or remove and checks all of it that needs no state:
//
//	put      {"order_id":"…","base":17,"sheet":{…}}
//	merge    {"order_id":"…","base":17,"upsert":{…},"remove":{"routes":["r-1"]}}
//	patch    {"order_id":"…","base":17,"changes":[{"path":"weights.chat.lagos","value":30}]}
//	evacuate {"order_id":"…","zone":"lagos/a"}, and so restore
//	remove   {"order_id":"…","names":["node-4"]}
//
// A put or patch without an order id goes by its digest, over operator, verb,
// base and content, which is the same for any spelling of the same content. A
// put or merge may number its sheet: "revision":9,"base_revision":7 in place of
// the base.
func ParseOrder(verb, operator string, body []byte, limits Limits, atMS int64) (Command, *apierror.Error) {
	want, known := orderSchemas[verb]
	if !known {
		return nil, apierror.Errorf(apierror.UnknownPath, "no order %s", strconv.Quote(strictjson.Excerpt(verb)))
	}
	if len(body) > limits.Bytes {
		return nil, apierror.Errorf(apierror.SheetTooLarge, "%d bytes; the bound is %d", len(body), limits.Bytes)
	}
	var b orderBody
	if apiErr := strictjson.Decode(body, want, apierror.BadField, &b); apiErr != nil {
		return nil, apiErr
	}
	if len(b.OrderID) > MaxOrderID || !utf8.ValidString(b.OrderID) {
		return nil, apierror.Errorf(apierror.BadField, "order_id: over %d bytes", MaxOrderID)
	}
	order := Order{OrderID: b.OrderID, Operator: operator, AtMS: atMS}
	order.Revision, order.BaseRevision = b.Revision, b.OnRev
	if (verb == sheet.VerbPut || verb == sheet.VerbPatch || verb == sheet.VerbMerge) && b.Revision == 0 {
		if b.Base == nil {
			return nil, apierror.Errorf(apierror.MissingField, "base: the sheet's epoch that the order is built on")
		}
		order.Base = *b.Base
	}
	return b.command(verb, order, limits)
}

func (b orderBody) command(verb string, order Order, limits Limits) (Command, *apierror.Error) {
	switch verb {
	case sheet.VerbPut:
		if b.Sheet == nil {
			return nil, apierror.Errorf(apierror.MissingField, "sheet")
		}
		if apiErr := b.Sheet.Check(); apiErr != nil {
			return nil, apiErr
		}
		if apiErr := b.Sheet.CheckSettings(limits.Setting); apiErr != nil {
			return nil, apiErr
		}
		c := PutSheet{Order: order, Sheet: b.Sheet}
		c.Order = c.seal()
		return c, nil
	case sheet.VerbMerge:
		c := MergeSheet{Order: order, Upsert: b.Upsert, Remove: b.Remove}
		if b.Upsert != nil {
			if apiErr := b.Upsert.CheckSettings(limits.Setting); apiErr != nil {
				return nil, apiErr
			}
		}
		c.Order = c.seal()
		return c, nil
	case sheet.VerbPatch:
		if len(b.Changes) == 0 {
			return nil, apierror.Errorf(apierror.MissingField, "changes")
		}
		if apiErr := sheet.CheckChanges(b.Changes, limits.Setting); apiErr != nil {
			return nil, apiErr
		}
		c := PatchSheet{Order: order, Changes: b.Changes}
		c.Order = c.seal()
		return c, nil
	case VerbRemove:
		if len(b.Names) == 0 {
			return nil, apierror.Errorf(apierror.MissingField, "names")
		}
		c := RemoveMembers{Order: order, Names: b.Names, By: order.Operator}
		c.Order = c.seal()
		return c, nil
	}
	if b.Zone == "" {
		return nil, apierror.Errorf(apierror.MissingField, "locality")
	}
	if !sheet.ValidZoneName(b.Zone) {
		return nil, apierror.Errorf(apierror.UnknownZone, "%s is neither a region nor region/zone", strconv.Quote(strictjson.Excerpt(b.Zone)))
	}
	if verb == sheet.VerbEvacuate {
		c := Evacuate{Order: order, Zone: b.Zone}
		c.Order = c.seal()
		return c, nil
	}
	c := Restore{Order: order, Zone: b.Zone}
	c.Order = c.seal()
	return c, nil
}
