// Package tprole is the first stage of the order pipeline. It decides how many
// engines of a pool are set up for prefill and how many for decode, and which
// engines change.
package tprole
