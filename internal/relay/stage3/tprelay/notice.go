package tprelay

import (
	"teaselpin.example/teaselpin/internal/relay/stage2/tpplace"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// reportNotice passes what the target of the current step says about itself to
// the placer.
func (t *task) reportNotice(n tpmessage.TargetNotice) {
	t.r.Place(tpplace.Input{Kind: tpplace.InputNotice, Notice: tpplace.Notice{
		TargetNotice: n, Target: t.grant.Target, At: t.r.Clock.Now(),
	}})
}
