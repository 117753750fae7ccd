package node

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestTakenNameIsStoredInTheDataFolder(t *testing.T) {
	Convey("A taken name is stored until the folder is emptied, in the file \"place\" that earlier versions read and write", t, func() {
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
