package tpmember_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"teaselpin.example/teaselpin/internal/membership/tpmember"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// Guards against keys that move between two remaining members when a third one
// is lost.
func TestRankMovesOnlyKeysOfLostMember(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 12).Draw(t, "members")
		members := make([]tpmessage.Member, n)
		for i := range members {
			members[i].Name = fmt.Sprintf("node-%d", i)
		}
		lost := rapid.IntRange(0, n-1).Draw(t, "lost")
		rest := append(append([]tpmessage.Member(nil), members[:lost]...), members[lost+1:]...)
		key := rapid.String().Draw(t, "key")
		before := tpmember.Rank(key, members)
		after := tpmember.Rank(key, rest)
		want := before[0].Name
		if want == members[lost].Name {
			want = before[1].Name
		}
		if got := after[0].Name; got != want {
			t.Errorf("responsible for %q: got %s, want %s", key, got, want)
		}
	})
}
