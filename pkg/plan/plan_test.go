package plan

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/table"
	"github.com/cinderslip/cinderslip/pkg/weights"
)

func demand(weight, floor, ceiling, requested float64) Demand {
	return Demand{Weight: weight, Floor: floor, Ceiling: ceiling, Requested: requested}
}

func TestSharesFollowWeightsWithinFloorsAndCeilings(t *testing.T) {
	cases := []struct {
		name    string
		demands []Demand
		want    []float64
	}{
		{"by weight", []Demand{demand(2, 0, 1, 1), demand(1, 0, 1, 1)}, []float64{2. / 3, 1. / 3}},
		{"floor raises the lower weight", []Demand{demand(9, 0, 1, 1), demand(1, 0.5, 1, 1)}, []float64{0.5, 0.5}},
		{"share above the ceiling goes to others", []Demand{demand(9, 0, 0.3, 1), demand(1, 0, 1, 1)}, []float64{0.3, 0.7}},
		{"unused share goes to others", []Demand{demand(1, 0, 1, 0.1), demand(1, 0, 1, 1)}, []float64{0.1, 0.9}},
		{"floors above one are scaled down", []Demand{demand(1, 0.8, 1, 1), demand(1, 0.8, 1, 1)}, []float64{0.5, 0.5}},
		{"ceilings leave capacity unused", []Demand{demand(1, 0, 0.2, 1), demand(1, 0, 0.3, 1)}, []float64{0.2, 0.3}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			require.InDeltaSlice(t, c.want, Shares(c.demands), 1e-9)
		})
	}
}

// No demand can get more without taking from another one that has less for its weight.
func TestSharesAreWeightedMaxMin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := make([]Demand, rapid.IntRange(1, 8).Draw(t, "claims"))
		unreserved := 1.0
		for i := range demands {
			floor := rapid.Float64Range(0, unreserved/2).Draw(t, "floor")
			unreserved -= floor
			demands[i] = demand(rapid.Float64Range(0.1, 10).Draw(t, "weight"), floor,
				rapid.Float64Range(floor, 1).Draw(t, "ceiling"), rapid.Float64Range(0, 1).Draw(t, "wanted"))
		}
		shares := Shares(demands)
		sum := 0.0
		for i, share := range shares {
			sum += share
			high := math.Max(demands[i].Floor, math.Min(demands[i].Ceiling, demands[i].Requested))
			if share < demands[i].Floor-1e-9 || share > high+1e-9 {
				t.Fatalf("share %v of %+v", share, demands[i])
			}
			for j, other := range shares {
				belowMax := share < high-1e-6
				aboveShare := other > demands[j].Floor+1e-6 && other/demands[j].Weight > share/demands[i].Weight+1e-6
				if belowMax && aboveShare {
					t.Fatalf("demand %d could take from %d: %v %+v", i, j, shares, demands)
				}
			}
		}
		if sum > 1+1e-9 {
			t.Fatalf("shares sum to %v", sum)
		}
	})
}

func TestApportionGivesEveryClaimAReplica(t *testing.T) {
	require.Equal(t, []int{3, 1}, Apportion([]float64{0.95, 0.05}, 4))
	require.Equal(t, []int{2, 1, 1}, Apportion([]float64{0.98, 0.01, 0.01}, 4))
	require.Equal(t, []int{1, 0}, Apportion([]float64{0.9, 0.1}, 1))
	require.Equal(t, []int{0, 0}, Apportion([]float64{0, 0}, 4))
}

// fakePool simulates boxes that load their assigned versions one at a time.
type fakePool struct {
	records []member.Record
	plan    Plan
	now     time.Time
}

func testDigest(version table.ModelVersion) weights.Digest { return weights.Sum([]byte(version)) }

func newFakePool(boxes, domains int) *fakePool {
	p := &fakePool{now: time.Unix(1_000_000, 0).UTC()}
	for i := range boxes {
		p.records = append(p.records, member.Record{
			Box: member.BoxID(fmt.Sprintf("box-%05d", i)), Role: member.RoleAgent, Status: member.StatusUp,
			FailureDomain: member.FailureDomain(fmt.Sprint("d", i%domains)),
			Models:        []table.Model{"m", "n"}, Slots: 2,
		})
	}
	return p
}

func (p *fakePool) input(rows []table.Row, versions ...table.ModelVersion) Input {
	digests := make(map[table.ModelVersion]weights.Digest)
	for _, version := range versions {
		digests[version] = testDigest(version)
	}
	return Input{
		Rows: rows, Boxes: p.records, Previous: p.plan, Now: p.now, Options: DefaultOptions(),
		Manifests: map[table.Model]map[table.ModelVersion]weights.Digest{"m": digests, "n": digests},
	}
}

// applyAssignment makes a box drop the versions that are not assigned and load one assigned version that is missing.
func (p *fakePool) applyAssignment(i int) {
	record := &p.records[i]
	if record.Status != member.StatusUp {
		return
	}
	assigned := p.plan.Boxes[record.Box].Versions
	record.Copies = slices.DeleteFunc(slices.Clone(record.Copies), func(c member.Copy) bool {
		return !slices.ContainsFunc(assigned, func(w PinnedVersion) bool { return w.Model == c.Model && w.Version == c.Version })
	})
	for _, w := range assigned {
		if !record.IsLive(w.Model, w.Version) && len(record.Copies) < record.Slots {
			record.Copies = append(record.Copies, member.Copy{Model: w.Model, Version: w.Version, Manifest: w.Manifest, Phase: member.PhaseLive})
			return
		}
	}
}

func (p *fakePool) liveCount(model table.Model, version table.ModelVersion) int {
	live := 0
	for _, record := range p.records {
		if record.IsLive(model, version) {
			live++
		}
	}
	return live
}

func row(group table.Group, weight, floor float64, version table.ModelVersion) table.Row {
	return table.Row{Group: group, Model: "m", Weight: weight, Floor: floor, Ceiling: 1, Version: version}
}

func TestVersionsAreSpreadOverFailureDomains(t *testing.T) {
	p := newFakePool(12, 3)
	next := Next(p.input([]table.Row{row("a", 1, 0, "v1"), row("b", 1, 0, "v2")}, "v1", "v2"))
	count := make(map[string]int)
	for _, record := range p.records {
		for _, w := range next.Boxes[record.Box].Versions {
			count[string(w.Version)+string(record.FailureDomain)]++
		}
	}
	require.Equal(t, map[string]int{"v1d0": 2, "v1d1": 2, "v1d2": 2, "v2d0": 2, "v2d1": 2, "v2d2": 2}, count)
}

func TestNextIsStableForUnchangedInput(t *testing.T) {
	p := newFakePool(50, 4)
	in := p.input([]table.Row{row("a", 3, 0, "v1"), row("b", 1, 0, "v2")}, "v1", "v2")
	in.Previous = Next(in)
	require.Equal(t, in.Previous, Next(in))
}

func TestUnpublishedVersionLeavesTheOldOneInService(t *testing.T) {
	p := newFakePool(4, 2)
	p.plan = Next(p.input([]table.Row{row("a", 1, 0, "v1")}, "v1"))
	for i := range p.records {
		p.applyAssignment(i)
	}
	p.plan = Next(p.input([]table.Row{row("a", 1, 0, "v2")}, "v1"))
	decided := p.plan.Rows[table.Key{Group: "a", Model: "m"}]
	require.Equal(t, table.ModelVersion("v1"), decided.Serving)
	require.Equal(t, reasonVersionNotFound, decided.WaitReason)
	require.Len(t, p.plan.Boxes["box-00000"].Versions, 1, "the old version stays assigned")
}

func TestNextWithoutPreviousPlanKeepsLiveVersion(t *testing.T) {
	p := newFakePool(4, 2)
	p.plan = Next(p.input([]table.Row{row("a", 1, 0, "v1")}, "v1"))
	for i := range p.records {
		p.applyAssignment(i)
	}
	p.plan = Plan{}
	p.plan = Next(p.input([]table.Row{row("a", 1, 0, "v2")}, "v1", "v2"))
	require.Equal(t, table.ModelVersion("v1"), p.plan.Rows[table.Key{Group: "a", Model: "m"}].Serving)
	require.Equal(t, 4, p.liveCount("m", "v1"))
}

func TestSilentBoxKeepsItsAssignment(t *testing.T) {
	p := newFakePool(4, 2)
	in := p.input([]table.Row{row("a", 1, 0, "v1")}, "v1")
	p.plan = Next(in)
	before := p.plan.Boxes["box-00002"]
	p.records[2].Status = member.StatusSilent
	require.Equal(t, before, Next(p.input(in.Rows, "v1")).Boxes["box-00002"])
}

// While the table changes, boxes load versions in random order and time passes, the plan itself must not reduce the
// boxes of a version in service below the group's floor, and no box may be assigned more versions than it has slots.
// Once the table stops changing, every row has to reach its version.
func TestRolloutNeverTakesAGroupBelowItsFloor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		versions := []table.ModelVersion{"v1", "v2", "v3"}
		p := newFakePool(rapid.IntRange(2, 12).Draw(t, "boxes"), rapid.IntRange(1, 3).Draw(t, "domains"))
		rows := []table.Row{row("a", 1, 0.4, "v1"), row("b", 2, 0.2, "v1")}
		if rapid.Bool().Draw(t, "second model") {
			rows = append(rows, table.Row{Group: "a", Model: "n", Weight: 1, Floor: 0.3, Ceiling: 1, Version: "v1"})
			for i := range p.records {
				p.records[i].Slots = 3
			}
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0:
				rows[rapid.IntRange(0, len(rows)-1).Draw(t, "row")].Version = rapid.SampledFrom(versions).Draw(t, "version")
			case 1:
				p.now = p.now.Add(rapid.SampledFrom([]time.Duration{time.Second, 20 * time.Second}).Draw(t, "passes"))
			case 2, 3, 4:
				p.replan(t, rows, versions)
			default:
				p.applyAssignment(rapid.IntRange(0, len(p.records)-1).Draw(t, "box"))
			}
		}
		for range 10 * len(p.records) {
			p.now = p.now.Add(time.Second)
			p.replan(t, rows, versions)
			for i := range p.records {
				p.applyAssignment(i)
			}
		}
		for _, r := range rows {
			decided := p.plan.Rows[r.Key()]
			if decided.Serving != r.Version {
				t.Fatalf("row %v is still served by %s: %s", r.Key(), decided.Serving, decided.WaitReason)
			}
		}
	})
}

// replan computes a new plan and checks what must hold for every plan.
func (p *fakePool) replan(t *rapid.T, rows []table.Row, versions []table.ModelVersion) {
	before := p.plan
	p.plan = Next(p.input(rows, versions...))
	for _, r := range rows {
		previous, had := before.Rows[r.Key()]
		now := p.plan.Rows[r.Key()]
		if had && now.Serving != previous.Serving && p.liveCount(r.Model, now.Serving) == 0 {
			t.Fatalf("row %v was moved to %s, which is live on no box", r.Key(), now.Serving)
		}
		floor := int(math.Ceil(r.Floor * float64(len(p.records))))
		// A box may still have the version although its previous assignment drops it, because it did not serve
		// then. This plan does not cause the removal from such a box, so it does not count as live.
		live, kept := 0, 0
		for _, record := range p.records {
			assigned := p.plan.Boxes[record.Box].Versions
			if len(assigned) > record.Slots {
				t.Fatalf("box %s is assigned %d versions, %d fit", record.Box, len(assigned), record.Slots)
			}
			previous, hadAssignment := before.Boxes[record.Box]
			if record.IsLive(r.Model, now.Serving) && (!hadAssignment || previous.includes(r.Model, now.Serving)) {
				live++
			}
			if record.IsLive(r.Model, now.Serving) && p.plan.Boxes[record.Box].includes(r.Model, now.Serving) {
				kept++
			}
		}
		if kept < min(live, floor) {
			t.Fatalf("row %v: %s is live on %d boxes and the plan keeps %d, floor %d", r.Key(), now.Serving, live, kept, floor)
		}
	}
}

func BenchmarkNext(b *testing.B) {
	for _, boxes := range []int{1_000, 4_000, 12_000} {
		b.Run(fmt.Sprintf("boxes=%d", boxes), func(b *testing.B) {
			p := newFakePool(boxes, 13)
			in := p.input(benchmarkRows(), "v1", "v2")
			in.Previous = Next(in)
			b.ReportAllocs()
			for b.Loop() {
				Next(in)
			}
		})
	}
}

func benchmarkRows() []table.Row {
	var rows []table.Row
	for i := range 2_000 {
		rows = append(rows, row(table.Group(fmt.Sprintf("g%04d", i)), 1, 0, []table.ModelVersion{"v1", "v2"}[i%2]))
	}
	return rows
}
