// Package tpmessage defines the plain structs that pass between filters. It
// holds no behaviour beyond names and small predicates, and no encoding.
package tpmessage
