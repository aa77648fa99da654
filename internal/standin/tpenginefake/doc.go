// Package tpenginefake simulates a model engine for tests. The engine uses
// continuous batching with chunked prefill, and reports its load in pieces of
// tpmessage.PieceTokens tokens. It streams numbered chunks whose text depends
// only on the request, and resumes a stream at a given chunk.
package tpenginefake
