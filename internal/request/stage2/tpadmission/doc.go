// Package tpadmission is the second stage of the request pipeline. It queues
// waiting requests, limits the number of requests in flight, and refuses
// requests that it cannot serve before their deadline.
//
// The unit of cost is one prefilled piece. A piece is 4,096 tokens
// (tpmessage.PieceTokens). A decoded piece costs DecodeWeight times as much.
package tpadmission
