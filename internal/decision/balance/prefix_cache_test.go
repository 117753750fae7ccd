package balance

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestPrefixCaches(t *testing.T) {
	Convey("The number of tracked prefixes is limited", t, func() {
		caches := newPrefixCaches()
		for key := range uint64(3 * maxPrefixes) {
			caches.record(key+1, "s0", msAfterStart(int(key)))
		}
		So(len(caches.locations), ShouldBeLessThanOrEqualTo, maxPrefixes)
		So(caches.contains(3*maxPrefixes, "s0", msAfterStart(3*maxPrefixes)), ShouldBeTrue)
	})
}
