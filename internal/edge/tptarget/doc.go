// Package tptarget is the HTTP client of targets, which are model engines and
// plain services. It converts between their encodings and the plain structs of
// the pipeline.
package tptarget
