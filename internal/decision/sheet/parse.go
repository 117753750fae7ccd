package sheet

import (
	"stepwick/internal/apierror"
	"stepwick/internal/decision/strictjson"
)

// ParseSheet decodes a sheet from at most limit bytes of JSON and checks it. It
// rejects unknown or repeated names, nulls, values of the wrong type and trailing
// data.
func ParseSheet(data []byte, limit int) (*Sheet, *apierror.Error) {
	if len(data) > limit {
		return nil, apierror.Errorf(apierror.SheetTooLarge, "sheet of %d bytes exceeds the limit of %d bytes", len(data), limit)
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
