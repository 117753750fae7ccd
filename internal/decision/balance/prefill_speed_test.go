package balance

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestPrefillSpeed(t *testing.T) {
	Convey("The prefill time per token is estimated as the slope of a regression over many prompt sizes", t, func() {
		var speed prefillSpeed
		for i := range 200 {
			tokens := float64(500 + 37*i)
			speed.addRegressionSample(tokens, time.Duration((50+0.02*tokens)*float64(time.Millisecond)))
		}
		So(speed.msPerToken(), ShouldAlmostEqual, 0.02, 0.0005)
	})
}
