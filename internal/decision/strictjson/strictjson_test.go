package strictjson

import (
	"strings"
	"testing"
	"unicode/utf8"

	"stepwick/internal/apierror"

	. "github.com/smartystreets/goconvey/convey"
)

var (
	rowSchema  = Record(Fields{"size": Number, "name": String, "extra": Opaque})
	bodySchema = Record(Fields{
		"rows":  Map(rowSchema).WithCode(apierror.InvalidSheet),
		"names": StringList,
		"on":    Bool,
		"value": Any,
	})
)

func TestDecodeRejectsWhatTheSchemaDoesNotAllow(t *testing.T) {
	for _, test := range []struct {
		name   string
		body   string
		code   apierror.Code
		detail string
	}{
		{"empty", ``, apierror.BadJSON, "at byte 0: unexpected end of JSON input"},
		{"trailing data", `{} {}`, apierror.BadJSON, "at byte 4: invalid character '{' after top-level value"},
		{"null", `null`, apierror.BadField, "want an object, not null"},
		{"another type", `{"on":"yes"}`, apierror.BadField, "on: want true or false, not yes"},
		{"an element's type", `{"names":["a",2]}`, apierror.BadField, "names.1: want a string, not 2"},
		{"an unknown field", `{"rows":{"a":{"sise":1}}}`, apierror.UnknownField, "rows.a.sise: no such field"},
		{"a repeated name", `{"names":[],"names":[]}`, apierror.BadField, "names: given twice"},
		{"a repeated name within any value", `{"value":{"x":1,"x":2}}`, apierror.BadField, "value.x: given twice"},
		{"a fault under a schema with a code", `{"rows":{"a":1}}`, apierror.InvalidSheet, "rows.a: want an object, not 1"},
		{"a number out of bounds", `{"rows":{"a":{"size":1e999}}}`, apierror.BadField, "rows.size: number 1e999 is out of bounds"},
		{"deep nesting", `{"value":` + strings.Repeat("[", 20) + strings.Repeat("]", 20) + `}`, apierror.BadField, "value is nested too deeply"},
	} {
		Convey("Decode rejects "+test.name, t, func() {
			var target struct {
				Rows map[string]struct {
					Size float64 `json:"size"`
				} `json:"rows"`
			}
			apiErr := Decode([]byte(test.body), bodySchema, apierror.BadField, &target)
			So(apiErr, ShouldNotBeNil)
			So(apiErr.Code, ShouldEqual, test.code)
			So(apiErr.Detail, ShouldContainSubstring, test.detail)
		})
	}
}

func TestDecodeAcceptsWhatTheSchemaAllows(t *testing.T) {
	Convey("Escaped names, opaque values and fields in any order are accepted", t, func() {
		var target struct {
			Rows map[string]struct {
				Size  float64 `json:"size"`
				Extra any     `json:"extra"`
			} `json:"rows"`
			Names []string `json:"names"`
		}
		body := `{"names":["a"],"rows":{"x":{"extra":[null,{"a":1,"a":2}],"siz\u0065":3}},"on":true,"value":[1]}`
		So(Decode([]byte(body), bodySchema, apierror.BadField, &target), ShouldBeNil)
		So(target.Rows["x"].Size, ShouldEqual, 3)
		So(target.Rows["x"].Extra, ShouldNotBeNil)
		So(target.Names, ShouldResemble, []string{"a"})
	})
}

func TestExcerptSplitsNoCharacter(t *testing.T) {
	Convey("An excerpt is valid UTF-8 wherever it ends, and at most as long as an excerpt of ASCII text", t, func() {
		for offset := range 8 {
			for _, character := range []string{"x", "é", "語", "😀"} {
				got := Excerpt(strings.Repeat("x", offset) + strings.Repeat(character, maxExcerptBytes+1))
				So(utf8.ValidString(got), ShouldBeTrue)
				So(len(got), ShouldBeLessThanOrEqualTo, maxExcerptBytes+len("…"))
				So(got, ShouldEndWith, "…")
			}
		}
		So(Excerpt("short 語"), ShouldEqual, "short 語")
	})
}
