// Package tpwire holds the protobuf messages and twirp services that nodes use
// to call each other. tools/generate generates all other Go files from the
// .proto files.
package tpwire
