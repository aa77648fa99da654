// Package tpwire holds the protobuf messages and twirp services that nodes use to
// call each other. tools/generate generates all other files from the .proto files.
package tpwire
