package fleet

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
)

// tornRecord is the beginning of a log record: its header announces more bytes
// than follow.
var tornRecord = []byte{0, 0, 1, 44, 9, 9, 9, 9, 7, 7, 7}

// Wipe removes the node's data; the process must not run.
func (n *Node) Wipe() error {
	n.fleet.Recorder.AddAction("wipe "+n.Name, false)
	if err := os.RemoveAll(n.dataDir); err != nil {
		return errors.Wrap(err, n.Name)
	}
	return os.MkdirAll(n.dataDir, dataDirMode)
}

// TearLog appends a torn record to the newest file of the log, as a power failure
// during a write would; the process must not run.
func (n *Node) TearLog() error {
	n.fleet.Recorder.AddAction("torn tail "+n.Name, false)
	newest, err := newestLogFile(n.dataDir)
	if err != nil || newest == "" {
		return errors.Wrapf(err, "%s has no log to tear", n.Name)
	}
	file, err := os.OpenFile(newest, os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		return errors.Wrap(err, n.Name)
	}
	defer func() { _ = file.Close() }()
	_, err = file.Write(tornRecord)
	return errors.Wrap(err, n.Name)
}

// newestLogFile returns the log file with the highest name; empty if there is none.
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
