// Package tpnode wires the filters of one node into its pipelines. Each file
// wires one pipeline; the filters themselves hold the decisions.
package tpnode
