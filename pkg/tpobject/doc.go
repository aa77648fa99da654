// Package tpobject describes the platform's object API: named values with
// versions, conditional updates and watches. Memory is the simplest store
// that keeps its rules; tpobjecttest holds the conformance suite.
package tpobject
