// Package tpobject defines the platform's object API: named values with
// versions, conditional updates and watches. Memory is the simplest
// implementation of Store. Package tpobjecttest holds the conformance tests.
package tpobject
