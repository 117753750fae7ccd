package eventqueue

import (
	"slices"
	"testing"
)

func TestEventsRunInOrderOfTimeThenOfScheduling(t *testing.T) {
	var queue Queue[int]
	var got []string
	record := func(name string) func() { return func() { got = append(got, name) } }
	queue.Schedule(2, record("late"))
	queue.Schedule(1, record("first"))
	queue.Schedule(1, record("second"))
	queue.Schedule(0, record("early"))
	for at, ok := queue.NextTime(); ok; at, ok = queue.NextTime() {
		popped, action := queue.Pop()
		if popped != at {
			t.Errorf("Pop returned an event at %d, Next had returned %d", popped, at)
		}
		action()
	}
	if want := []string{"early", "first", "second", "late"}; !slices.Equal(got, want) {
		t.Errorf("actions ran in the order %v, want %v", got, want)
	}
}
