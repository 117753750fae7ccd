package checker

import (
	"fmt"
	"sort"

	"stepwick/cmd/rig/history"
	"stepwick/internal/apierror"
)

func isSheet(o history.Order) bool { return o.Verb == "put" || o.Verb == "patch" }

func lostSheet(l *history.Recording) (found []string) {
	versions := map[string]uint64{}
	for _, o := range l.Orders {
		if o.Acknowledged() && isSheet(o) && o.SheetMarker != "" {
			versions[o.SheetMarker] = o.Version
		}
	}
	for _, back := range l.ReadBacks {
		if back.Status != 200 {
			continue
		}
		var best history.Order
		for _, o := range l.Orders {
			if o.Acknowledged() && isSheet(o) && o.Answered < back.Sent && o.Version > best.Version {
				best = o
			}
		}
		marked, known := versions[back.SheetMarker]
		switch {
		case back.Version < best.Version:
			say(&found, "read back through %s at %s: sheet epoch %d, but %d (order %s) was acknowledged at %s", back.Front, sec(back.Sent), back.Version, best.Version, best.ID, sec(best.Answered))
		case back.Version == best.Version && best.SheetMarker != "" && back.SheetMarker != best.SheetMarker:
			say(&found, "read back through %s at %s: sheet epoch %d has mark %q, order %s put %q there", back.Front, sec(back.Sent), back.Version, back.SheetMarker, best.ID, best.SheetMarker)
		case known && marked != back.Version && marked < best.Version:
			say(&found, "read back through %s at %s: sheet epoch %d holds mark %s of epoch %d", back.Front, sec(back.Sent), back.Version, back.SheetMarker, marked)
		}
	}
	return found
}

// marks are the keys of acknowledged sheets.
func marks(l *history.Recording) map[int]history.KeyRotation {
	out := map[int]history.KeyRotation{}
	for _, m := range l.KeyRotations {
		if m.Acknowledged > 0 {
			out[m.Key] = m
		}
	}
	return out
}

// outdated is the earliest instant at which a sheet newer than that of a key
// was acknowledged.
func outdated(l *history.Recording, own history.KeyRotation) (at history.Instant, by history.KeyRotation, ok bool) {
	for _, m := range l.KeyRotations {
		if m.Acknowledged > 0 && m.Version > own.Version && (!ok || m.Acknowledged < at) {
			at, by, ok = m.Acknowledged, m, true
		}
	}
	return
}

func oldSheet(l *history.Recording) (found []string) {
	acked := marks(l)
	ends := map[int]history.Instant{}
	for key, m := range acked {
		if at, _, ok := outdated(l, m); ok {
			ends[key] = at
		}
	}
	for _, p := range l.KeyChecks {
		m, ok := acked[p.Key]
		if !ok {
			continue
		}
		if at, over := ends[p.Key]; over && p.Accepted() && p.Sent >= at+OldAfter {
			say(&found, "%s passed probe key %d (epoch %d) at %s; a newer sheet was acknowledged at %s, %s before", p.Front, p.Key, m.Version, sec(p.Sent), sec(at), sec(p.Sent-at))
		}
		if p.RejectedAsUnknown() && p.Sent >= m.Acknowledged+OldAfter && !laterSent(l, m, p.Done) {
			say(&found, "%s did not know probe key %d (epoch %d) at %s; its sheet was acknowledged at %s, %s before", p.Front, p.Key, m.Version, sec(p.Sent), sec(m.Acknowledged), sec(p.Sent-m.Acknowledged))
		}
	}
	return found
}

// laterSent tells whether any other sheet that may be newer was sent by an instant.
func laterSent(l *history.Recording, m history.KeyRotation, by history.Instant) bool {
	for _, other := range l.KeyRotations {
		if other.Key != m.Key && other.Sent <= by && (other.Acknowledged == 0 || other.Version > m.Version) {
			return true
		}
	}
	return false
}

func stepBack(l *history.Recording) (found []string) {
	acked := marks(l)
	type seen struct {
		version uint64
		done    history.Instant
	}
	highest := map[string][]seen{}
	probes := append([]history.KeyCheck(nil), l.KeyChecks...)
	sort.Slice(probes, func(i, j int) bool { return probes[i].Sent < probes[j].Sent })
	for _, p := range probes {
		m, ok := acked[p.Key]
		if !ok || !p.Accepted() {
			continue
		}
		for _, before := range highest[p.Front] {
			if before.version > m.Version && before.done <= p.Sent {
				say(&found, "%s ruled by epoch %d at %s and by epoch %d again at %s", p.Front, before.version, sec(before.done), m.Version, sec(p.Sent))
				break
			}
		}
		if last := highest[p.Front]; len(last) == 0 || last[len(last)-1].version < m.Version {
			highest[p.Front] = append(last, seen{m.Version, p.Done})
		}
	}
	return found
}

func invalidSheet(l *history.Recording) (found []string) {
	for _, o := range l.Orders {
		if o.Invalid && o.Acknowledged() {
			say(&found, "order %s has an invalid sheet and was acknowledged at %s as epoch %d", o.ID, sec(o.Answered), o.Version)
		}
	}
	return found
}

func race(l *history.Recording) (found []string) {
	winner := map[string]history.Order{}
	lost := map[string]map[string]bool{}
	for _, o := range l.Orders {
		if !isSheet(o) {
			continue
		}
		group := fmt.Sprint("base ", o.Base)
		if o.Acknowledged() {
			if first, ok := winner[group]; ok && first.ID != o.ID {
				say(&found, "orders %s and %s, both on %s, were told that they won (epochs %d and %d)", first.ID, o.ID, group, first.Version, o.Version)
			} else {
				winner[group] = o
			}
		}
		if o.Race != "" {
			if lost[o.Race] == nil {
				lost[o.Race] = map[string]bool{}
			}
			if _, ok := lost[o.Race][o.ID]; !ok || o.Code == int(apierror.BaseMoved) && !o.AnswerLost {
				lost[o.Race][o.ID] = o.Code == int(apierror.BaseMoved) && !o.AnswerLost
			}
		}
	}
	for name, ids := range lost {
		all := true
		for _, beaten := range ids {
			all = all && beaten
		}
		if all {
			say(&found, "all %d operators of %s were told that another won", len(ids), name)
		}
	}
	sort.Strings(found)
	return found
}

func resent(l *history.Recording) (found []string) {
	won := map[string]history.Order{}
	for _, o := range l.Orders {
		if o.Acknowledged() {
			if first, ok := won[o.ID]; ok && first.Version != o.Version {
				say(&found, "order %s was accepted as epoch %d and again as epoch %d", o.ID, first.Version, o.Version)
			}
			won[o.ID] = o
		}
	}
	for _, o := range l.Orders {
		if w, ok := won[o.ID]; ok && !o.AnswerLost && o.Status >= 400 && o.Status < 500 {
			say(&found, "order %s was accepted as epoch %d and, sent again at %s through %s, refused with code %d", o.ID, w.Version, sec(o.Sent), o.Front, o.Code)
		}
	}
	applied := map[string]bool{}
	for _, back := range l.ReadBacks {
		if back.Status == 200 && back.SheetMarker != "" {
			applied[back.SheetMarker] = true
		}
	}
	for _, o := range l.Orders {
		if !o.AnswerLost && o.Status >= 400 && o.Status < 500 && o.SheetMarker != "" && applied[o.SheetMarker] {
			say(&found, "order %s was refused with code %d at %s, but its sheet was read back", o.ID, o.Code, sec(o.Answered))
		}
	}
	return found
}

func revoked(l *history.Recording) (found []string) {
	acked := marks(l)
	for _, p := range l.KeyChecks {
		m, ok := acked[p.Key]
		if !ok || !p.Accepted() {
			continue
		}
		if at, by, over := outdated(l, m); over && p.Sent >= at+RevokedAfter {
			say(&found, "%s passed probe key %d at %s; epoch %d that revoked it was acknowledged at %s", p.Front, p.Key, sec(p.Sent), by.Version, sec(at))
		}
	}
	return found
}
