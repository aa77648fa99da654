// Package tpadmission is the second stage of the request pipeline. It holds
// waiting work in a queue, lets a bounded number of requests be in flight,
// and refuses work that cannot be served before its deadline.
package tpadmission
