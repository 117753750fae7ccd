package compat

import "testing"

func TestResultCodesKeepNumberNameStatusAndRetry(t *testing.T) {
	sameAsFixture(t, codeList(), "lists", "codes.txt")
}

func TestEventsKeepNumberNameAndLevel(t *testing.T) {
	sameAsFixture(t, eventList(), "lists", "events.txt")
}
