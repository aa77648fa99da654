// Package tprole is the first stage of the order pipeline. It decides how many
// engines of a pool have the prefill role and how many the decode role, and
// which engines change their role.
package tprole
