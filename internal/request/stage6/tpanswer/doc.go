// Package tpanswer is the last stage of the request pipeline. It passes on
// the chunks of one answer in order, once each, and makes the end explicit.
package tpanswer
