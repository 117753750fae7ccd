// Package archtest tests the structure of the project: the import rules between
// packages, and that the identifiers named in docs/ARCHITECTURE.md and
// docs/GLOSSARY.md exist. It contains only tests.
package archtest
