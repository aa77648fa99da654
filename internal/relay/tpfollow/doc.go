// Package tpfollow keeps views of the platform's objects up to date. It decides
// when a node watches the platform and when it reads the view of a peer
// instead, and derives the targets in use from the registrations.
package tpfollow
