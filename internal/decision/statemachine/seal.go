package statemachine

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"stepwick/internal/decision/sheet"
)

func (c PutSheet) seal() Order {
	return c.Order.sealed(sheet.VerbPut, func() any { return c.Sheet })
}

func (c PatchSheet) seal() Order {
	return c.Order.sealed(sheet.VerbPatch, func() any { return c.Changes })
}

func (c MergeSheet) seal() Order {
	return c.Order.sealed(sheet.VerbMerge, func() any {
		return struct {
			Upsert *sheet.Sheet
			Remove sheet.Removal
		}{c.Upsert, c.Remove}
	})
}

func (c Evacuate) seal() Order {
	return c.Order.sealed(sheet.VerbEvacuate, func() any { return c.Zone })
}

func (c Restore) seal() Order {
	return c.Order.sealed(sheet.VerbRestore, func() any { return c.Zone })
}

func (c RemoveMembers) seal() Order {
	if c.Operator == "" {
		return c.Order
	}
	return c.Order.sealed(VerbRemove, func() any { return c.Names })
}

func (o Order) sealed(verb string, content func() any) Order {
	if o.Digest == "" {
		body, err := json.Marshal(content())
		if err != nil {
			body = []byte(err.Error())
		}
		h := sha256.New()
		fmt.Fprintf(h, "%q %q %d ", o.Operator, verb, o.Base)
		if o.Revision > 0 {
			fmt.Fprintf(h, "%d on %d ", o.Revision, o.BaseRevision)
		}
		h.Write(body)
		o.Digest = hex.EncodeToString(h.Sum(nil))
	}
	if o.OrderID == "" && (verb == sheet.VerbPut || verb == sheet.VerbPatch || verb == sheet.VerbMerge) {
		o.OrderID = o.Digest
	}
	return o
}
