// Package tpfollow keeps views of the platform's objects up to date: from the
// platform, and from peers while the platform does not serve this node.
package tpfollow
