// Package tpmessage defines the plain structs that pass between filters. Its
// methods only look up or derive values. Encodings live in other packages.
package tpmessage
