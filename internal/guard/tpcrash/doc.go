// Package tpcrash finds what crashes targets and decides which requests must
// not reach a target any more. It looks at the shared parts of prompts and at
// the whole content of requests. Its keys are cleared by answers, and nodes
// exchange their evidence.
package tpcrash
