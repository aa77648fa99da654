// Package tpnode connects the filters of one node to pipelines. Each file
// connects one pipeline. The decisions are in the packages of the filters.
package tpnode
