// Package tpplace decides which target serves a relayed request, whether its
// prompt is read apart from its generation, and whether another attempt is
// within the retry budget. It is the second stage of the relay pipeline.
package tpplace
