//go:build race

package direct

// raceEnabled is set if the race detector is on.
const raceEnabled = true
