package journal

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func TestJournal(t *testing.T) {
	Convey("Given a journal of three events", t, func() {
		j := New[string](3)
		_, whole := j.After(0, 0)
		So(whole, ShouldBeTrue)
		for _, e := range []string{"a", "b", "c", "d"} {
			j.Append(e)
		}
		Convey("the oldest leaves, numbers go on", func() {
			entries, whole := j.After(1, 0)
			So(whole, ShouldBeTrue)
			So(entries, ShouldResemble, []Entry[string]{{2, "b"}, {3, "c"}, {4, "d"}})
			So(Fold(j, "", func(v string, e Entry[string]) string { return v + e.Event }), ShouldEqual, "bcd")
		})
		Convey("a reader too far behind or ahead is told so", func() {
			_, whole := j.After(0, 0)
			So(whole, ShouldBeFalse)
			_, whole = j.After(5, 0)
			So(whole, ShouldBeFalse)
		})
		Convey("single events are found while they are kept", func() {
			_, ok := j.Get(1)
			So(ok, ShouldBeFalse)
			e, ok := j.Get(4)
			So(ok, ShouldBeTrue)
			So(e, ShouldEqual, "d")
		})
	})
}

func TestReaderMissesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		j := New[uint64](rapid.IntRange(1, 9).Draw(t, "bound"))
		place := uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "append") {
				j.Append(j.LastSequence() + 1)
				continue
			}
			entries, whole := j.After(place, rapid.IntRange(0, 3).Draw(t, "limit"))
			if !whole {
				if place+1 >= j.OldestSequence() {
					t.Fatalf("place %d is kept from %d on, yet not whole", place, j.OldestSequence())
				}
				place = j.LastSequence()
				continue
			}
			for _, e := range entries {
				if e.Sequence != place+1 || e.Event != e.Sequence {
					t.Fatalf("after %d came %+v", place, e)
				}
				place = e.Sequence
			}
		}
	})
}
