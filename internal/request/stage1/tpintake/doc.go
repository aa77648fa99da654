// Package tpintake is the first stage of the request pipeline. It checks a
// caller's request against the configuration in force and sets the request ID,
// or refuses the request before any part of it has run.
package tpintake
