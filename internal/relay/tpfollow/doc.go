// Package tpfollow keeps views of the platform's objects up to date. It watches
// the platform, and uses the views of peers while the platform does not serve
// this node.
package tpfollow
