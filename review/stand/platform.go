//go:build review

package main

import "time"

// bounds are the figures of a sheet that the settings of a process and the cases use.
type bounds struct {
	contactMs, drainMs, configApplyMs, versionMs, retryBudgetExtra int
}

// The bounds of the deployments.
var (
	hatakeiBounds    = bounds{contactMs: 3000, drainMs: 2000, configApplyMs: 2000, versionMs: 8000, retryBudgetExtra: 100}
	hatakeiNowBounds = bounds{contactMs: 4000, drainMs: 3000, configApplyMs: 3000, versionMs: 9700, retryBudgetExtra: 234}
	matrikelBounds   = bounds{contactMs: 4000, drainMs: 3000, configApplyMs: 3000, versionMs: 10300, retryBudgetExtra: 252}
)

// settle waits after the start of the entry boxes until they count as in touch, and a little longer.
func (d *deployment) settle() {
	time.Sleep(time.Duration(d.bounds.contactMs)*time.Millisecond + time.Second)
}

// limits are the Limits of the configurations.
var limits = map[string]any{"MaxBodyBytes": 1 << 20, "MaxHeaderBytes": 16384, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}
