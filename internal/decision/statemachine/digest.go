package statemachine

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"stepwick/internal/decision/sheet"
)

// withDigest returns the order with an empty digest filled in: the SHA-256 of
// operator, verb, base, revisions if set, and the content as JSON. The base counts only
// for orders that change the sheet: another order may be sent again with the same id on
// a newer base. Digests are stored and compared, so the encoding must never change. An order without an id
// that changes the sheet takes the digest as its id.
func (o Order) withDigest(verb string, content func() any) Order {
	if o.Digest == "" {
		o.Digest = o.contentDigest(verb, content())
	}
	if o.OrderID == "" && changesSheet(verb) {
		o.OrderID = o.Digest
	}
	return o
}

func (o Order) contentDigest(verb string, content any) string {
	body, err := json.Marshal(content)
	if err != nil {
		body = []byte(err.Error())
	}
	base := o.Base
	if !changesSheet(verb) {
		base = 0
	}
	hash := sha256.New()
	_, _ = fmt.Fprintf(hash, "%q %q %d ", o.Operator, verb, base)
	if o.Revision > 0 {
		_, _ = fmt.Fprintf(hash, "%d on %d ", o.Revision, o.BaseRevision)
	}
	_, _ = hash.Write(body)
	return hex.EncodeToString(hash.Sum(nil))
}

// changesSheet reports whether orders with the verb change the sheet, and so
// depend on the version that they were built on.
func changesSheet(verb string) bool {
	return verb == sheet.VerbPut || verb == sheet.VerbPatch || verb == sheet.VerbMerge
}
