// Package tptarget speaks HTTP to model engines and plain services. It
// converts between their encodings and the plain structs of the pipeline.
package tptarget
