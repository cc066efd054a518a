//go:build review

package main

import "time"

// settleTime is how long a case waits after the start of the entry boxes: ContactMs and a little more.
const settleTime = 4 * time.Second

// limits are the Limits of the configurations.
var limits = map[string]any{"MaxBodyBytes": 1 << 20, "MaxHeaderBytes": 16384, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}
