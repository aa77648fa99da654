// Package tpconfig reads the configuration of a deployment: a base file and a
// site's overlay in YAML. It reports all faults of both files at once, each
// with its file, line and column, and shows the difference of two
// configurations. docs/settings.md describes the fields.
package tpconfig
