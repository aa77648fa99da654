// Package tpcontact decides how the nodes of a region find each other through
// the platform if they know no live peer, or only some of the nodes. One object
// of the platform names a few nodes of the region.
package tpcontact
