// Package tpintake is the first stage of the request pipeline. It checks what
// a caller sent against the configuration in force and gives the request its
// identity, or refuses it before anything has run.
package tpintake
