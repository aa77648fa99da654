// Package tprouter is the third stage of the request pipeline. It chooses the
// targets that may serve a request, in order of preference, from load reports
// that arrive with a delay.
//
// Load is in prefilled pieces. A piece is 4,096 tokens (tpmessage.PieceTokens).
package tprouter
