// Package compat holds tests of the forms that outlive one release of the
// program: data folders, messages between processes, settings, JSON that
// programs read, and the names of metrics. It has no code beside its tests.
//
// The files below testdata were written by the code of commit 8383e5a and are
// compared byte for byte. They are never written again: no test here can change
// them, and a difference is a fault of the code. A form that is new (a setting, an
// event, a result code, a field of a message, a metric) is added to its fixture by
// hand, in the commit that adds it; an existing line is never changed or removed.
// Names of Go types and packages are used in the files adapt_*_test.go only, so that
// a renaming touches no expectation.
//
// The data folders in testdata/stored were written by the program kept beside
// them as writer.txt, which builds with the test files of the commit that added
// it. Each test works on a copy of them.
package compat
