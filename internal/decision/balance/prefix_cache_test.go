package balance

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestPrefixCaches(t *testing.T) {
	Convey("The number of remembered prefixes is limited", t, func() {
		h := newPrefixCaches()
		for key := range uint64(3 * maxPrefixes) {
			h.record(key+1, "s0", at(int(key)))
		}
		So(len(h.locations), ShouldBeLessThanOrEqualTo, maxPrefixes)
		So(h.holds(3*maxPrefixes, "s0", at(3*maxPrefixes)), ShouldBeTrue)
	})
}
