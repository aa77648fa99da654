// Package tporder decides which order an engine gets next. Each engine has at
// most one outstanding order, which is recorded on the platform before it is
// sent and settled by reading the engine before the next one is recorded.
package tporder
