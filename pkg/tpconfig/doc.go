// Package tpconfig loads the configuration of a deployment from a base file and
// the overlays of a site in YAML. It reports all faults of all files together,
// each with its file, line and column, and lists the differences between two
// configurations. docs/settings.md describes the fields.
package tpconfig
