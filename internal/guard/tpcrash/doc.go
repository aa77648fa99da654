// Package tpcrash finds what crashes targets and decides which requests must
// not reach a target any more. It looks at the shared parts of prompts and at
// the whole content of requests. A crash shows as a reset, or as a silence that
// lasts until the process has ended. Keys are cleared by answers, and nodes
// exchange their evidence.
package tpcrash
