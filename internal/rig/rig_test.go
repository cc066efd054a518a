package rig

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cinderslip/cinderslip/pkg/weights"
)

// soonestOptions returns options with half the default RankDelay.
func soonestOptions() weights.PickerOptions {
	options := weights.DefaultPickerOptions()
	options.RankDelay /= 2
	return options
}

func TestRunIsRepeatable(t *testing.T) {
	options := Options{Boxes: 30, Regions: 3, Chunks: 60, CrashShare: 0.1, StallShare: 0.1, Seed: 7, Picker: weights.DefaultPickerOptions()}
	require.Equal(t, Run(options), Run(options))
}

func TestSurvivingBoxesCompleteDownload(t *testing.T) {
	for seed := range uint64(5) {
		for _, regions := range []int{1, 3, 6} {
			result := Run(Options{
				Boxes: 40, Regions: regions, Chunks: 80, CrashShare: 0.2, StallShare: 0.1, Seed: seed, Picker: weights.DefaultPickerOptions(),
			})
			require.True(t, result.Complete, "seed %d, %d regions", seed, regions)
		}
	}
}

func TestOneCopyLeavesOriginAndOneEntersEachRegion(t *testing.T) {
	for _, regions := range []int{1, 3, 6} {
		result := Run(Options{Boxes: 48, Regions: regions, Chunks: 400, Seed: 1, Picker: weights.DefaultPickerOptions()})
		require.LessOrEqual(t, result.OriginCopies, 1.02, "%d regions", regions)
		require.LessOrEqual(t, result.RegionCopies, 1.1, "%d regions", regions)
	}
}

func TestNoResultIsBelowBound(t *testing.T) {
	for _, boxes := range []int{1, 2, 12, 50} {
		result := Run(Options{Boxes: boxes, Regions: 1, Chunks: 100, Picker: soonestOptions()})
		require.GreaterOrEqual(t, result.Time, result.Bound, "%d boxes", boxes)
		require.GreaterOrEqual(t, result.OriginCopies, 1.0)
	}
}

func reportMetrics(b *testing.B, result Result) {
	b.Helper()
	if !result.Complete {
		b.Fatal("a box did not complete its copy")
	}
	b.ReportMetric(float64(result.Time)/float64(result.Bound), "time/bound")
	b.ReportMetric(result.OriginCopies, "source-copies")
	b.ReportMetric(result.RegionCopies, "region-copies")
}

// BenchmarkRollout measures the figures in the table of docs/operators/distribution.md.
func BenchmarkRollout(b *testing.B) {
	settings := map[string]weights.PickerOptions{"fewest-bytes": weights.DefaultPickerOptions(), "soonest-live": soonestOptions()}
	for _, boxes := range []int{12, 50, 200, 500, 1_400} {
		b.Run(fmt.Sprintf("boxes=%d/way=all-from-source", boxes), func(b *testing.B) {
			for b.Loop() {
				reportMetrics(b, AllFromOrigin(boxes))
			}
		})
		b.Run(fmt.Sprintf("boxes=%d/way=tree-of-copies", boxes), func(b *testing.B) {
			for b.Loop() {
				reportMetrics(b, TreeOfCopies(boxes))
			}
		})
		for _, regions := range []int{1, 3, 6} {
			for _, way := range []string{"fewest-bytes", "soonest-live"} {
				for _, faults := range []bool{false, true} {
					options := Options{Boxes: boxes, Regions: regions, Chunks: 400, Seed: 1, Picker: settings[way]}
					if faults {
						options.CrashShare, options.StallShare = 0.05, 0.01
					}
					b.Run(fmt.Sprintf("boxes=%d/way=%s/regions=%d/faults=%v", boxes, way, regions, faults), func(b *testing.B) {
						for b.Loop() {
							reportMetrics(b, Run(options))
						}
					})
				}
			}
		}
	}
}
