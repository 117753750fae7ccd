package fleet

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
)

// tornRecord is an incomplete log record: its header gives a length greater than
// the number of bytes that follow.
var tornRecord = []byte{0, 0, 1, 44, 9, 9, 9, 9, 7, 7, 7}

// Wipe deletes the contents of the node's data directory. The process must not be
// running.
func (n *Node) Wipe() error {
	n.fleet.Recorder.AddAction("wipe "+n.Name, false)
	if err := os.RemoveAll(n.dataDir); err != nil {
		return errors.Wrap(err, n.Name)
	}
	return os.MkdirAll(n.dataDir, dataDirMode)
}

// TearLog appends an incomplete record to the newest log file, which simulates a
// power failure during a write. The process must not be running.
func (n *Node) TearLog() error {
	n.fleet.Recorder.AddAction("torn tail "+n.Name, false)
	newest, err := newestLogFile(n.dataDir)
	if err != nil || newest == "" {
		return errors.Wrapf(err, "%s: find a log file in %s", n.Name, n.dataDir)
	}
	file, err := os.OpenFile(newest, os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		return errors.Wrap(err, n.Name)
	}
	defer func() { _ = file.Close() }()
	_, err = file.Write(tornRecord)
	return errors.Wrap(err, n.Name)
}

// newestLogFile returns the path of the log file whose path sorts last, or the empty
// string if there is none.
func newestLogFile(dir string) (string, error) {
	newest := ""
	err := filepath.Walk(dir, func(path string, info fs.FileInfo, err error) error {
		if err != nil || info.IsDir() {
			return err
		}
		if strings.Contains(info.Name(), "seg") || strings.HasSuffix(path, ".log") {
			newest = max(newest, path)
		}
		return nil
	})
	return newest, err
}
