package node

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestTakenNameIsStoredInTheDataFolder(t *testing.T) {
	Convey("A taken name is found again, in a file whose name older versions know, until the folder is emptied", t, func() {
		folder := filepath.Join(t.TempDir(), "data")
		_, taken := readTakenName(folder)
		So(taken, ShouldBeFalse)
		So(holdsData(folder), ShouldBeFalse)
		So(storeTakenName(folder, "core-2"), ShouldBeNil)
		content, err := os.ReadFile(filepath.Join(folder, "place"))
		So(err, ShouldBeNil)
		So(string(content), ShouldEqual, "core-2")
		name, taken := readTakenName(folder)
		So(taken, ShouldBeTrue)
		So(name, ShouldEqual, "core-2")
		So(holdsData(folder), ShouldBeTrue)
		So(emptyFolder(folder), ShouldBeNil)
		So(holdsData(folder), ShouldBeFalse)
	})
}
