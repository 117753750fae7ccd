// Package archtest holds tests of the project's structure: which packages may
// import which, and that the links of docs/ARCHITECTURE.md name declarations
// that exist. It has no code beside its tests.
package archtest
