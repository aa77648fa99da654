// Package tpsender is the fifth stage of the request pipeline. It runs one
// stream task for each assignment. The task sends the request to a target,
// tries other targets within the retry budget, and resumes an interrupted
// stream.
package tpsender
