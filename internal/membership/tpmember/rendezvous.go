package tpmember

import (
	"sort"

	"github.com/zeebo/xxh3"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// Rank returns the members that are not leaving in decreasing order of their
// rendezvous weight for key. The first one is responsible for key. A change of
// one member moves only the keys of that member.
func Rank(key string, members []tpmessage.Member) []tpmessage.Member {
	ranked := make([]tpmessage.Member, 0, len(members))
	for _, m := range members {
		if !m.Leaving {
			ranked = append(ranked, m)
		}
	}
	sort.Slice(ranked, func(i, j int) bool {
		wi, wj := weight(key, ranked[i].Name), weight(key, ranked[j].Name)
		if wi != wj {
			return wi > wj
		}
		return ranked[i].Name < ranked[j].Name
	})
	return ranked
}

func weight(key, member string) uint64 {
	return xxh3.HashStringSeed(member, xxh3.HashString(key))
}
