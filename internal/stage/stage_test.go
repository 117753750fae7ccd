package stage_test

import (
	"context"
	"errors"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/stage"
)

func TestQueueCapacityAndCause(t *testing.T) {
	Convey("A full queue rejects or waits, and a closed one yields its items and then its cause", t, func() {
		ctx, cancel := context.WithCancel(context.Background())
		queue := stage.NewQueue[int](2)
		So(queue.Put(ctx, 1), ShouldBeNil)
		So(queue.TryPut(2), ShouldBeTrue)
		So(queue.TryPut(3), ShouldBeFalse)
		So(queue.Len(), ShouldEqual, 2)
		cancel()
		So(queue.Put(ctx, 3), ShouldEqual, context.Canceled)
		cause := errors.New("cause")
		queue.Close(cause)
		var items []int
		for item := range queue.Items() {
			items = append(items, item)
		}
		So(items, ShouldResemble, []int{1, 2})
		So(queue.Cause(), ShouldEqual, cause)
	})
}

func TestByteBudget(t *testing.T) {
	Convey("A reservation beyond the limit is rejected and reserves nothing", t, func() {
		budget := stage.NewByteBudget(10)
		So(budget.TryReserve(7), ShouldBeTrue)
		So(budget.TryReserve(4), ShouldBeFalse)
		So(budget.Available(), ShouldEqual, 3)
		budget.Release(7)
		So(budget.Available(), ShouldEqual, 10)
	})
}
