package statemachine

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"stepwick/internal/decision/sheet"
)

// withDigest fills in the digest where it is empty: the SHA-256 over operator,
// verb, base and the JSON of the content. It is stored and compared, so the form
// of the content must never change. Orders that change the sheet and have no id
// get the digest as their id.
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
	digest := sha256.New()
	_, _ = fmt.Fprintf(digest, "%q %q %d ", o.Operator, verb, o.Base)
	if o.Revision > 0 {
		_, _ = fmt.Fprintf(digest, "%d on %d ", o.Revision, o.BaseRevision)
	}
	_, _ = digest.Write(body)
	return hex.EncodeToString(digest.Sum(nil))
}

// changesSheet reports whether orders of the verb are built on a base.
func changesSheet(verb string) bool {
	return verb == sheet.VerbPut || verb == sheet.VerbPatch || verb == sheet.VerbMerge
}
