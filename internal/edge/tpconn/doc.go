// Package tpconn sends HTTP requests over kept connections that carry each
// request ID at most once.
//
// A server repeats the ID of a request in its answer, and may send an answer a
// second time, much later. A copy of a refusal carries the ID of the request
// that was refused. If that request were sent again on the same connection, the
// copy could not be told from the new answer. On a connection that carries each
// ID once, an answer with the ID of a request answers that one exchange.
package tpconn
