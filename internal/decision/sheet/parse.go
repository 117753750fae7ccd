package sheet

import (
	"stepwick/internal/apierror"
	"stepwick/internal/decision/strictjson"
)

// ParseSheet reads a sheet from at most limit bytes of JSON and checks it.
// Unknown or repeated names, nulls, wrong types and trailing data are refused.
func ParseSheet(data []byte, limit int) (*Sheet, *apierror.Error) {
	if len(data) > limit {
		return nil, apierror.Errorf(apierror.SheetTooLarge, "%d bytes; the bound is %d", len(data), limit)
	}
	var s Sheet
	if apiErr := strictjson.Decode(data, Schema, apierror.InvalidSheet, &s); apiErr != nil {
		return nil, apiErr
	}
	if apiErr := s.Check(); apiErr != nil {
		return nil, apiErr
	}
	return &s, nil
}
