// Package tprouter is the third stage of the request pipeline. It chooses the
// targets that may serve a request, best first, on late load information.
package tprouter
