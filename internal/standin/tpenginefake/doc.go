// Package tpenginefake is a stand-in for a model engine. It batches
// continuously in pieces, streams numbered chunks that depend only on the
// request, and resumes streams.
package tpenginefake
