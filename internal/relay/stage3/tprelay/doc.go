// Package tprelay executes relayed requests. It sends each request to the
// targets that the placer grants, decides after each attempt whether another
// one is allowed, and joins the parts of a resumed stream into one answer.
// It is the third stage of the relay pipeline.
package tprelay
