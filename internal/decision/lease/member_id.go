package lease

import (
	"strconv"
	"strings"
)

// unknownIncarnation stands for an incarnation that is not known, such as that of
// a member that has not renewed since the core started. Real incarnations are
// positive.
const unknownIncarnation uint64 = 0

const incarnationSeparator = '#'

// MemberID identifies one incarnation of a member, that is, one run of its
// process. Its text form is "name#incarnation".
type MemberID struct {
	Name        string
	Incarnation uint64
}

// String returns the text form, which lease views carry.
func (id MemberID) String() string {
	return id.Name + string(incarnationSeparator) + strconv.FormatUint(id.Incarnation, 10)
}

// HasIncarnation reports whether the incarnation is known.
func (id MemberID) HasIncarnation() bool { return id.Incarnation != unknownIncarnation }

// ParseMemberID is the inverse of MemberID.String. A text without a valid
// incarnation is taken as the name of a member whose incarnation is unknown.
func ParseMemberID(text string) MemberID {
	separator := strings.LastIndexByte(text, incarnationSeparator)
	if separator < 0 {
		return MemberID{Name: text, Incarnation: unknownIncarnation}
	}
	incarnation, err := strconv.ParseUint(text[separator+1:], 10, 64)
	if err != nil {
		return MemberID{Name: text, Incarnation: unknownIncarnation}
	}
	return MemberID{Name: text[:separator], Incarnation: incarnation}
}
