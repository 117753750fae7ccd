package disklog

// trialBytes is the most that is allocated to find out whether there is room
// beside the reserve.
const trialBytes = 256 << 10

// trialFileName is the file that is allocated for that, and removed at once.
const trialFileName = "room" + temporarySuffix

// reserve is a file on a disk without a quota whose blocks are given back when
// there is no other room for a snapshot or an urgent record.
type reserve struct {
	allocated   bool // the file has its blocks
	unsupported bool // the file system can't allocate blocks
}

// updateSpace restores the reserve after its release, and finds out whether a
// full disk has room again.
func (w *writer) updateSpace() {
	needsNoReserve := w.reserve.allocated || w.reserve.unsupported || w.cfg.Quota > 0
	if !w.full.Load() && needsNoReserve {
		return
	}
	w.full.Store(isNoSpace(w.checkSpace()))
}

// checkSpace allocates the reserve and, for a moment, a little room beside it. The
// disk counts as full when either can't be had.
func (w *writer) checkSpace() error {
	if w.cfg.Quota == 0 && !w.reserve.unsupported {
		if err := w.allocateReserve(); err != nil {
			return err
		}
	}
	trialPath := w.path(trialFileName)
	err := w.files.Allocate(trialPath, min(w.cfg.ReserveBytes, trialBytes))
	_ = w.files.Remove(trialPath)
	return err
}

func (w *writer) allocateReserve() error {
	path := w.path(reserveFileName)
	err := w.files.Allocate(path, w.cfg.ReserveBytes)
	w.reserve.allocated = err == nil
	if err != nil {
		_ = w.files.Remove(path)
		w.reserve.unsupported = !isNoSpace(err)
	}
	return err
}

// releaseReserve gives the reserve's blocks back and reports whether there were
// any.
func (w *writer) releaseReserve() bool {
	if !w.reserve.allocated {
		return false
	}
	w.reserve.allocated = false
	return w.files.Remove(w.path(reserveFileName)) == nil
}
