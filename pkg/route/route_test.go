package route

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/table"
)

var testTime = time.Unix(1_000_000, 0)

// record returns the record of a box that has the given versions of the model "m" live.
func record(box string, region member.Region, versions ...table.ModelVersion) member.Record {
	r := member.Record{
		Box: member.BoxID(box), Role: member.RoleAgent, Status: member.StatusUp, Region: region,
		Peers: member.Address(box + ":1"), Incarnation: 1,
	}
	for _, version := range versions {
		r.Copies = append(r.Copies, member.Copy{Model: "m", Version: version, Phase: member.PhaseLive})
	}
	return r
}

var testServiceVersion = ServiceVersion{Service: "m", Version: "v1"}

func TestPickUsesOnlyBoxesWithTheVersionLiveAndNotLeaving(t *testing.T) {
	r := NewRouter("kita")
	r.Set(record("a", "kita", "v1"))
	r.Set(record("b", "kita", "v2"))
	loading := record("c", "kita", "v1")
	loading.Copies[0].Phase = member.PhaseLoading
	r.Set(loading)
	for range 50 {
		target, ok := r.Pick(testServiceVersion, nil, testTime)
		require.True(t, ok)
		require.Equal(t, member.BoxID("a"), target.Box)
	}
	leaving := record("a", "kita", "v1")
	leaving.Status = member.StatusLeaving
	r.Set(leaving)
	_, ok := r.Pick(testServiceVersion, nil, testTime)
	require.False(t, ok)
}

func TestPickSkipsTriedBoxes(t *testing.T) {
	r := NewRouter("kita")
	r.Set(record("a", "kita", "v1"))
	r.Set(record("b", "kita", "v1"))
	target, ok := r.Pick(testServiceVersion, []member.BoxID{"a"}, testTime)
	require.True(t, ok)
	require.Equal(t, member.BoxID("b"), target.Box)
	_, ok = r.Pick(testServiceVersion, []member.BoxID{"a", "b"}, testTime)
	require.False(t, ok)
}

func TestEjectedBoxIsUsedOnlyWhenNoOtherIsLeft(t *testing.T) {
	r := NewRouter("kita")
	r.Set(record("a", "kita", "v1"))
	r.Set(record("b", "kita", "v1"))
	bad, _ := r.Pick(testServiceVersion, []member.BoxID{"b"}, testTime)
	bad.Failed(testTime)
	for range 50 {
		target, _ := r.Pick(testServiceVersion, nil, testTime)
		require.Equal(t, member.BoxID("b"), target.Box)
	}
	target, ok := r.Pick(testServiceVersion, []member.BoxID{"b"}, testTime)
	require.True(t, ok, "an ejected box is used rather than rejecting the request")
	require.Equal(t, member.BoxID("a"), target.Box)
	picked := make(map[member.BoxID]bool)
	for range 100 {
		target, _ := r.Pick(testServiceVersion, nil, testTime.Add(time.Second))
		picked[target.Box] = true
	}
	require.True(t, picked["a"], "the box is used again after its ejection")
}

func TestInFlightCountSurvivesRecordUpdateButNotRestart(t *testing.T) {
	r := NewRouter("kita")
	r.Set(record("a", "kita", "v1"))
	target, _ := r.Pick(testServiceVersion, nil, testTime)
	target.Start()
	r.Set(record("a", "kita", "v1", "v2"))
	again, _ := r.Pick(ServiceVersion{Service: "m", Version: "v2"}, nil, testTime)
	require.Equal(t, int64(1), again.InFlight())
	restarted := record("a", "kita", "v1")
	restarted.Incarnation = 2
	r.Set(restarted)
	again, _ = r.Pick(testServiceVersion, nil, testTime)
	require.Zero(t, again.InFlight())
}

func TestSilencedChannelIsClosedWhenBoxIsSilent(t *testing.T) {
	r := NewRouter("kita")
	r.Set(record("a", "kita", "v1"))
	target, _ := r.Pick(testServiceVersion, nil, testTime)
	silent := record("a", "kita", "v1")
	silent.Status = member.StatusSilent
	r.Set(silent)
	select {
	case <-target.Silenced():
	default:
		require.Fail(t, "silenced channel is not closed")
	}
	r.Set(silent)
}

// Guards against a thundering herd: many entry boxes with the same outdated load reports must not all pick the box that
// is idle according to these reports.
func TestStaleLoadReportsDoNotCauseThunderingHerd(t *testing.T) {
	const entries, boxes = 50, 20
	picked := make(map[member.BoxID]int)
	for range entries {
		r := NewRouter("kita")
		for i := range boxes {
			r.Set(record(fmt.Sprint("box-", i), "kita", "v1"))
		}
		for range 4 {
			target, _ := r.Pick(testServiceVersion, nil, testTime)
			target.Start()
			picked[target.Box]++
		}
	}
	for box, count := range picked {
		require.Less(t, count, 3*entries*4/boxes, box)
	}
}

// Checks for random sequences of records that Pick returns a box that is up and has the version live according to its
// latest record, and that it finds one whenever there is one.
func TestPickAgreesWithTheNewestRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := NewRouter("kita")
		latest := make(map[member.BoxID]member.Record)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			box := fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "box"))
			next := record(box, rapid.SampledFrom([]member.Region{"kita", "far"}).Draw(t, "region"),
				rapid.SliceOfDistinct(rapid.SampledFrom([]table.ModelVersion{"v1", "v2"}), func(v table.ModelVersion) string { return string(v) }).Draw(t, "versions")...)
			next.Incarnation = member.Incarnation(rapid.IntRange(1, 2).Draw(t, "incarnation"))
			next.Status = rapid.SampledFrom([]member.Status{member.StatusUp, member.StatusUp, member.StatusLeaving, member.StatusSilent}).Draw(t, "status")
			r.Set(next)
			latest[next.Box] = next
			requested := ServiceVersion{Service: "m", Version: rapid.SampledFrom([]table.ModelVersion{"v1", "v2"}).Draw(t, "requested")}
			isLive := false
			for _, record := range latest {
				isLive = isLive || record.IsLive("m", requested.Version)
			}
			target, ok := r.Pick(requested, nil, testTime)
			require.Equal(t, isLive, ok)
			if ok {
				require.True(t, latest[target.Box].IsLive("m", requested.Version))
				require.Equal(t, latest[target.Box].Incarnation, target.Incarnation)
				if rapid.Bool().Draw(t, "fails") {
					target.Failed(testTime)
				}
			}
		}
	})
}

// Checks for random sequences of calls that a request id that is not repeatable starts at most once, and that an
// attempt that was settled as not started never starts.
func TestIDRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		registry := NewDedupRegistry(time.Minute)
		ran := make(map[RequestID]int)
		started := make(map[AttemptID]bool)
		settled := make(map[AttemptID]bool)
		now := testTime
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "elapsed")) * time.Millisecond)
			request := RequestID(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "request")))
			attempt := AttemptID(fmt.Sprint(request, "/", rapid.IntRange(0, 2).Draw(t, "attempt")))
			switch rapid.IntRange(0, 2).Draw(t, "action") {
			case 0:
				if registry.Start(request, attempt, false, now) == StartAllowed {
					ran[request]++
					started[attempt] = true
					if settled[attempt] {
						t.Fatalf("%s started after it was settled as not started", attempt)
					}
				}
			case 1:
				if !registry.Settle(attempt, now) {
					settled[attempt] = true
					if started[attempt] {
						t.Fatalf("%s started, but was settled as not started", attempt)
					}
				}
			case 2:
				if started[attempt] && ran[request] == 1 && rapid.Bool().Draw(t, "abandon") {
					registry.Abandon(request, attempt, now)
					ran[request]--
					started[attempt] = false
					settled[attempt] = true
				}
			}
			if ran[request] > 1 {
				t.Fatalf("%s ran %d times", request, ran[request])
			}
		}
	})
}

// Checks that an id runs at most once, whichever of its owners runs it and whichever is the witness, if one of the
// agents fails between the attempts.
func TestWitnessPreventsSecondRunWhenOneAgentIsGone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const agents = 3
		registries := make([]*DedupRegistry, agents)
		for i := range registries {
			registries[i] = NewDedupRegistry(time.Hour)
		}
		failed := -1
		runs := 0
		for number := range rapid.IntRange(1, 8).Draw(t, "attempts") {
			if failed < 0 && rapid.Bool().Draw(t, "agent fails") {
				failed = rapid.IntRange(0, agents-1).Draw(t, "failed")
			}
			order := rapid.Permutation([]int{0, 1, 2}).Draw(t, "owners")
			attempt := AttemptID(fmt.Sprint("id/", number))
			runner, claimed := order[0], false
			if runner == failed || registries[runner].Start("id", attempt, false, testTime) != StartAllowed {
				continue
			}
			for _, witness := range order[1:] {
				if witness != failed {
					claimed = registries[witness].Claim("id", attempt, testTime)
					break
				}
			}
			switch {
			case !claimed:
				registries[runner].Abandon("id", attempt, testTime)
			case rapid.Bool().Draw(t, "backend server refuses the connection"):
				registries[runner].Abandon("id", attempt, testTime)
				for i, registry := range registries {
					if i != failed {
						registry.Abandon("id", attempt, testTime)
					}
				}
			default:
				runs++
			}
		}
		if runs > 1 {
			t.Fatalf("the id ran %d times", runs)
		}
	})
}

func TestAllEntryBoxesPickTheSameOwners(t *testing.T) {
	one, two := NewRouter("kita"), NewRouter("minami")
	for i := range 20 {
		r := record(fmt.Sprint("box-", i), "kita", "v1")
		one.Set(r)
		two.Set(r)
	}
	for i := range 50 {
		id := RequestID(fmt.Sprint(i))
		owners := func(r *Router) map[member.Address]bool {
			target, witnesses, ok := r.PickOwner(testServiceVersion, id, nil, testTime)
			require.True(t, ok)
			require.Len(t, witnesses, ownersPerID-1)
			all := map[member.Address]bool{target.Address: true}
			for _, witness := range witnesses {
				all[witness] = true
			}
			return all
		}
		require.Equal(t, owners(one), owners(two))
	}
	target, witnesses, ok := one.PickOwner(testServiceVersion, "x", nil, testTime)
	require.True(t, ok)
	target.Failed(testTime)
	other, _, _ := one.PickOwner(testServiceVersion, "x", nil, testTime)
	require.Contains(t, witnesses, other.Address, "another owner runs the request if the first one is ejected")
}

func TestDedupRegistryForgetsAfterWindow(t *testing.T) {
	registry := NewDedupRegistry(time.Minute)
	for i := range 1000 {
		registry.Start(RequestID(fmt.Sprint(i)), AttemptID(fmt.Sprint(i)), false, testTime)
	}
	require.Equal(t, 2000, registry.Len())
	registry.Start("last", "last", false, testTime.Add(3*time.Minute))
	require.Equal(t, 2, registry.Len())
}

func TestRetryBudgetLimitsRatioOfRetries(t *testing.T) {
	b := NewRetryBudget(0.1, 5)
	retries := 0
	for range 1000 {
		b.RecordRequest()
		if b.AllowRetry() {
			retries++
		}
	}
	require.InDelta(t, 105, retries, 2)
}

func TestFreeSlotIsGrantedImmediatelyToAnyGroup(t *testing.T) {
	a := NewAdmission(2, 1)
	a.SetWeight("big", 9)
	for range 2 {
		_, err := a.Acquire(t.Context(), "small", 0, testTime, time.Time{})
		require.NoError(t, err)
	}
}

func TestFullQueueRejectsImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := NewAdmission(1, 1)
		_, err := a.Acquire(t.Context(), "g", 0, time.Now(), time.Time{})
		require.NoError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _, _ = a.Acquire(ctx, "g", 0, time.Now(), time.Time{}) }()
		synctest.Wait()
		_, err = a.Acquire(t.Context(), "g", 0, time.Now(), time.Time{})
		require.ErrorIs(t, err, ErrQueueFull)
		require.GreaterOrEqual(t, a.RetryAfter("g"), time.Second)
		cancel()
	})
}

func TestCanceledWaiterTakesNoSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := NewAdmission(1, 10)
		first, err := a.Acquire(t.Context(), "g", 0, time.Now(), time.Time{})
		require.NoError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		failed := make(chan error)
		go func() {
			_, err := a.Acquire(ctx, "g", 0, time.Now(), time.Time{})
			failed <- err
		}()
		synctest.Wait()
		cancel()
		require.ErrorIs(t, <-failed, context.Canceled)
		first.Release(0, time.Now())
		_, err = a.Acquire(t.Context(), "g", 0, time.Now(), time.Time{})
		require.NoError(t, err)
	})
}

func TestRequestThatCannotMeetItsDeadlineIsRejectedWithoutQueueing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := NewAdmission(1, 100)
		for range 100 {
			slot, err := a.Acquire(t.Context(), "g", 0, time.Now(), time.Time{})
			require.NoError(t, err)
			time.Sleep(time.Second)
			slot.Release(0, time.Now())
		}
		ctx, cancel := context.WithCancel(t.Context())
		for range 20 {
			go func() { _, _ = a.Acquire(ctx, "g", 0, time.Now(), time.Time{}) }()
		}
		synctest.Wait()
		_, err := a.Acquire(ctx, "g", 0, time.Now(), time.Now().Add(time.Second))
		require.ErrorIs(t, err, ErrDeadline)
		cancel()
	})
}

// Checks that saturated slots are shared by weight even if one group submits far more requests than the others.
func TestSaturatedSlotsAreSharedByWeight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := NewAdmission(4, 1000)
		weights := map[table.Group]float64{"a": 3, "b": 1, "flood": 2}
		demand := map[table.Group]int{"a": 20, "b": 20, "flood": 400}
		var mu sync.Mutex
		var wait sync.WaitGroup
		served := make(map[table.Group]int)
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Second)
		defer cancel()
		for group, weight := range weights {
			a.SetWeight(group, weight)
			for range demand[group] {
				wait.Go(func() {
					for ctx.Err() == nil {
						slot, err := a.Acquire(ctx, group, 0, time.Now(), time.Time{})
						if err != nil {
							return
						}
						time.Sleep(100 * time.Millisecond)
						slot.Release(0, time.Now())
						mu.Lock()
						served[group]++
						mu.Unlock()
					}
				})
			}
		}
		wait.Wait()
		sum, squares := 0.0, 0.0
		for group, count := range served {
			share := float64(count) / weights[group]
			sum += share
			squares += share * share
		}
		require.GreaterOrEqual(t, sum*sum/(3*squares), 0.99, "Jain index by weight: %v", served)
	})
}

func TestHigherPriorityGoesFirstWithinAGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := NewAdmission(1, 10)
		first, err := a.Acquire(t.Context(), "g", 0, time.Now(), time.Time{})
		require.NoError(t, err)
		var mu sync.Mutex
		var order []string
		for _, priority := range []int{0, 5, 0, 9} {
			go func() {
				slot, err := a.Acquire(t.Context(), "g", priority, time.Now(), time.Time{})
				if err != nil {
					return
				}
				mu.Lock()
				order = append(order, fmt.Sprint(priority))
				mu.Unlock()
				slot.Release(0, time.Now())
			}()
			synctest.Wait()
		}
		first.Release(0, time.Now())
		synctest.Wait()
		require.Equal(t, "9 5 0 0", strings.Join(order, " "))
	})
}

func BenchmarkPick(b *testing.B) {
	for _, boxes := range []int{12, 1_000, 12_000} {
		b.Run(fmt.Sprintf("boxes=%d", boxes), func(b *testing.B) {
			r := NewRouter("kita")
			for i := range boxes {
				r.Set(record(fmt.Sprint("box-", i), "kita", "v1"))
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := r.Pick(testServiceVersion, nil, testTime); !ok {
					b.Fatal("no box found")
				}
			}
		})
	}
}

func BenchmarkPickOwner(b *testing.B) {
	for _, boxes := range []int{12, 2_000, 12_000} {
		b.Run(fmt.Sprintf("boxes=%d", boxes), func(b *testing.B) {
			r := NewRouter("kita")
			for i := range boxes {
				r.Set(record(fmt.Sprint("box-", i), "kita", "v1"))
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if _, _, ok := r.PickOwner(testServiceVersion, RequestID(fmt.Sprint(i)), nil, testTime); !ok {
					b.Fatal("no box found")
				}
			}
		})
	}
}

func BenchmarkSetRecord(b *testing.B) {
	for _, boxes := range []int{1_000, 12_000} {
		b.Run(fmt.Sprintf("boxes=%d", boxes), func(b *testing.B) {
			r := NewRouter("kita")
			for i := range boxes {
				r.Set(record(fmt.Sprint("box-", i), "kita", "v1"))
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				changed := record("box-7", "kita", "v1")
				changed.Incarnation = member.Incarnation(i + 2)
				r.Set(changed)
			}
		})
	}
}

func BenchmarkAdmission(b *testing.B) {
	a := NewAdmission(1<<20, 10)
	b.ReportAllocs()
	for b.Loop() {
		slot, err := a.Acquire(context.Background(), "g", 0, testTime, time.Time{})
		if err != nil {
			b.Fatal(err)
		}
		slot.Release(0, testTime)
	}
}

func BenchmarkDedupRegistry(b *testing.B) {
	registry := NewDedupRegistry(time.Minute)
	now := testTime
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		id := fmt.Sprint(i)
		registry.Start(RequestID(id), AttemptID(id), false, now)
	}
}
