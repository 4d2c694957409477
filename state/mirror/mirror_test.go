package mirror_test

import (
	"testing"

	"samphirehead/state/mirror"
)

func row(key string, revision mirror.Revision, value string) mirror.Row {
	return mirror.Row{Key: key, Revision: revision, Value: []byte(value)}
}

func value(t *testing.T, m *mirror.Mirror, key string) string {
	t.Helper()
	rows, _ := m.Rows()
	return string(rows[key].Value)
}

func TestOlderStatesAreIgnored(t *testing.T) {
	var m mirror.Mirror
	m.Replace([]mirror.Row{row("a", 5, "new")}, 10, 0)
	if m.Replace([]mirror.Row{row("a", 3, "old")}, 8, 0) {
		t.Error("an older state of the table replaced the copy")
	}
	m.ApplyChanges([]mirror.Row{row("a", 4, "older change")}, 11)
	if got := value(t, &m, "a"); got != "new" {
		t.Errorf("row is %q, want new", got)
	}
	if m.ApplyChanges([]mirror.Row{row("a", 6, "late")}, 9) {
		t.Error("changes that lead to an older state were applied")
	}
}

func TestRemovedRow(t *testing.T) {
	var m mirror.Mirror
	m.Replace([]mirror.Row{row("a", 1, "x"), row("b", 2, "y")}, 2, 0)
	m.ApplyChanges([]mirror.Row{{Key: "a", Revision: 3, Removed: true}}, 3)
	rows, revision := m.Rows()
	if _, ok := rows["a"]; ok || len(rows) != 1 || revision != 3 {
		t.Errorf("rows %v at %d", rows, revision)
	}
}

func TestContentRevisionFollowsRowsOnly(t *testing.T) {
	var m mirror.Mirror
	rows := []mirror.Row{row("a", 1, "x")}
	m.Replace(rows, 5, 0)
	before := m.ContentRevision()
	changed := m.Changed()
	m.ApplyChanges(nil, 9)
	m.Replace(rows, 12, 0)
	if m.ContentRevision() != before || m.Revision() != 12 {
		t.Errorf("content revision %d, revision %d", m.ContentRevision(), m.Revision())
	}
	select {
	case <-changed:
		t.Error("the channel of Changed was closed though no row changed")
	default:
	}
	m.ApplyChanges([]mirror.Row{row("a", 13, "y")}, 14)
	if m.ContentRevision() != 13 {
		t.Errorf("content revision %d, want 13", m.ContentRevision())
	}
	select {
	case <-changed:
	default:
		t.Error("the channel of Changed was not closed when a row changed")
	}
}
