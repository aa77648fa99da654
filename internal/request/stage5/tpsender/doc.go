// Package tpsender is the fifth stage of the request pipeline. It runs one
// stream task for each assignment, which sends the request to a target, tries
// others within the retry budget, and resumes a stream that was cut.
package tpsender
