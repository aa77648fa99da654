package tpnode

import "teaselpin.example/teaselpin/pkg/tpmessage"

// Self returns this node as its peers know it.
func (n *Node) Self() tpmessage.Member {
	m := tpmessage.Member{
		Name: n.cfg.Name, Address: n.PeerAddress(), Zone: n.cfg.Zone, Leaving: n.leaving.Load(),
	}
	if s := n.InForce(); s != nil {
		m.Generation = s.Generation
	}
	return m
}

// Members returns the live members of the region, this node first.
func (n *Node) Members() []tpmessage.Member {
	return []tpmessage.Member{n.Self()}
}
