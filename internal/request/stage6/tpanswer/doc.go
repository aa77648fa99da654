// Package tpanswer is the last stage of the request pipeline. It passes on the
// chunks of one answer in order and once each, and makes the end of the answer
// explicit.
package tpanswer
