// Package tpjournal is the fourth stage of the request pipeline. It makes the
// claim of a non-idempotent call durable before the first byte goes to a
// target, records the result, and answers repeated calls from the record.
//
// An entry node passes claims and results to the holder of the key's shard. The
// holder is the node that owns the shard. It commits operations in groups, each
// by one conditional update of the shard's tail object. The conditional update
// fences off a former holder.
package tpjournal
