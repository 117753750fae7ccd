package balance

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestPrefillSpeed(t *testing.T) {
	Convey("The prefill time per token is learned as the slope over many prompt sizes", t, func() {
		var s prefillSpeed
		for i := range 200 {
			tokens := float64(500 + 37*i)
			s.addSample(tokens, time.Duration((50+0.02*tokens)*float64(time.Millisecond)))
		}
		So(s.perToken(), ShouldAlmostEqual, 0.02, 0.0005)
	})
}
