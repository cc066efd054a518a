package state

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// testElement is an element of a list in a testValue.
type testElement struct {
	Name   string            `cbor:"1,keyasint"`
	Key    string            `cbor:"2,keyasint"`
	Labels []string          `cbor:"3,keyasint,omitempty"`
	Number uint64            `cbor:"4,keyasint,omitempty"`
	More   map[string]string `cbor:"5,keyasint,omitempty"`
}

// testValue is a large value of an item.
type testValue struct {
	Version  uint64        `cbor:"1,keyasint"`
	Elements []testElement `cbor:"2,keyasint"`
	Others   []testElement `cbor:"3,keyasint"`
}

// largeTestValue returns a value with a number of elements in each list, of some 80 bytes each.
func largeTestValue(elements int) *testValue {
	random, value := rand.New(rand.NewPCG(3, 4)), &testValue{Version: 1}
	element := func(i int) testElement {
		return testElement{Name: fmt.Sprintf("element-%d", i), Key: fmt.Sprintf("%016x%016x", random.Uint64(), random.Uint64()), Labels: []string{"a", "b"}}
	}
	for i := range elements {
		value.Elements = append(value.Elements, element(i))
		value.Others = append(value.Others, element(i))
	}
	return value
}

func encoded(t require.TestingT, value any) []byte {
	raw, err := Encode(value)
	require.NoError(t, err)
	return raw
}

// requireDelta checks that the delta between two values yields the second one, and returns the size of its program.
func requireDelta(t require.TestingT, base, next []byte) int {
	delta, ok := Diff(base, next)
	require.True(t, ok)
	value, err := delta.Apply(base)
	require.NoError(t, err)
	require.Equal(t, next, value)
	return len(delta.Program)
}

func TestDeltaIsTheChange(t *testing.T) {
	for _, test := range []struct {
		name    string
		change  func(value *testValue)
		maximum int
	}{
		{"nothing", func(*testValue) {}, 5},
		{"version", func(value *testValue) { value.Version++ }, 10},
		{"a key", func(value *testValue) { value.Elements[200].Key = "0123456789abcdef0123456789abcdef" }, 60},
		{"a key of each list", func(value *testValue) { value.Elements[200].Key, value.Others[7].Key = "0123456789abcdef", "" }, 80},
		{"an element more", func(value *testValue) {
			value.Others = slices.Insert(value.Others, 100, testElement{Name: "new", Key: "0123456789abcdef"})
		}, 60},
		{"an element less", func(value *testValue) { value.Elements = slices.Delete(value.Elements, 3, 4) }, 30},
		{"no list", func(value *testValue) { value.Elements = nil }, 30},
		{"a moved part", func(value *testValue) {
			value.Elements = append(slices.Clone(value.Elements[100:]), value.Elements[:100]...)
		}, 40},
		{"lists exchanged", func(value *testValue) { value.Elements, value.Others = value.Others, value.Elements }, 40},
		{"a list twice", func(value *testValue) { value.Elements = append(value.Elements, value.Elements...) }, 40},
	} {
		t.Run(test.name, func(t *testing.T) {
			base, next := largeTestValue(400), largeTestValue(400)
			test.change(next)
			size := requireDelta(t, encoded(t, base), encoded(t, next))
			t.Logf("%d bytes for a value of %d", size, len(encoded(t, next)))
			require.LessOrEqual(t, size, test.maximum)
		})
	}
}

func TestNoDeltaThatIsNotSmallerThanTheValue(t *testing.T) {
	value := encoded(t, largeTestValue(100))
	random := make([]byte, len(value))
	_, _ = rand.NewChaCha8([32]byte{}).Read(random)
	for name, pair := range map[string][2][]byte{
		"all changed":          {encoded(t, random), value},
		"from nothing":         {nil, value},
		"short":                {encoded(t, 1), encoded(t, 2)},
		"empty":                {nil, nil},
		"base not well-formed": {value[1:], value},
		"next not well-formed": {value, value[:len(value)-1]},
		"more than the value":  {value, append(slices.Clone(value), 0)},
	} {
		_, ok := Diff(pair[0], pair[1])
		require.False(t, ok, name)
	}
}

func TestDeltaOfAnotherValueIsNotApplied(t *testing.T) {
	base, next := largeTestValue(100), largeTestValue(100)
	next.Elements[7].Key = "changed"
	delta, ok := Diff(encoded(t, base), encoded(t, next))
	require.True(t, ok)
	_, err := delta.Apply(encoded(t, next))
	require.ErrorIs(t, err, errOtherBase)
	require.ErrorContains(t, err, fmt.Sprintf("%016x", uint64(DigestValue(encoded(t, next)))))
}

func TestDamagedDeltaYieldsNoValue(t *testing.T) {
	base := encoded(t, largeTestValue(100))
	for name, program := range map[string][]byte{
		"empty":                   nil,
		"length cut":              {0x80},
		"length over 64 bits":     bytes.Repeat([]byte{0xff}, 11),
		"literal cut":             {9<<1 | literalBit, 'a'},
		"copy without an offset":  {4 << 1},
		"copy beyond the base":    appendCopy(nil, len(base)-3, 4),
		"copy from beyond":        appendCopy(nil, len(base)+1, 0),
		"copy of everything":      appendCopy(nil, 0, 1<<62),
		"other value":             appendCopy(nil, 0, len(base)-1),
		"many copies of the base": bytes.Repeat(appendCopy(nil, 0, len(base)), 1<<20),
	} {
		delta := Delta{Base: DigestValue(base), Result: 7, Program: program}
		value, err := delta.Apply(base)
		require.ErrorIs(t, err, errDamagedDelta, name)
		require.Nil(t, value, name)
	}
}

// elements generates the elements of a list; many of them are equal.
func elements() *rapid.Generator[[]any] {
	return rapid.SliceOfN(rapid.OneOf(
		rapid.Map(rapid.IntRange(0, 40), func(i int) any { return fmt.Sprintf("an element of a list, number %d", i) }),
		rapid.Map(rapid.IntRange(0, 40), func(i int) any { return i }),
		rapid.Map(rapid.SliceOfN(rapid.StringN(0, 20, 80), 0, 6), func(list []string) any { return list }),
		rapid.Map(rapid.MapOfN(rapid.IntRange(0, 30), rapid.SliceOfN(rapid.Byte(), 0, 40), 0, 6), func(fields map[int][]byte) any { return fields }),
	), 0, 60)
}

// changed returns a list with some elements inserted, removed, moved and replaced.
func changed(t *rapid.T, list []any) []any {
	list = slices.Clone(list)
	for range rapid.IntRange(0, 5).Draw(t, "changes") {
		at := rapid.IntRange(0, len(list)).Draw(t, "at")
		switch kind := rapid.IntRange(0, 3).Draw(t, "kind"); {
		case kind == 0:
			list = slices.Insert(list, at, elements().Draw(t, "inserted")...)
		case kind == 1:
			list = slices.Delete(list, at, rapid.IntRange(at, len(list)).Draw(t, "end"))
		case kind == 2:
			list = append(slices.Clone(list[at:]), list[:at]...)
		case at < len(list):
			list[at] = rapid.StringN(0, 30, 90).Draw(t, "replacement")
		}
	}
	return list
}

// drawChange returns two encoded maps of which the second one is a change of the first one.
func drawChange(t *rapid.T) (base, next []byte) {
	before, after := make(map[int]any), make(map[int]any)
	for field := range rapid.IntRange(0, 6).Draw(t, "fields") {
		list := elements().Draw(t, "list")
		before[field] = list
		switch rapid.IntRange(0, 4).Draw(t, "field") {
		case 0, 1:
			after[field] = list
		case 2:
			after[field] = changed(t, list)
		case 3:
			before[field] = map[string]any{"nested": list}
			after[field] = map[string]any{"nested": changed(t, list)}
		case 4:
			after[field+10] = list
		}
	}
	return encoded(t, before), encoded(t, after)
}

func TestDeltaYieldsTheValue(t *testing.T) {
	deltas := 0
	rapid.Check(t, func(t *rapid.T) {
		base, next := drawChange(t)
		delta, ok := Diff(base, next)
		if !ok {
			return
		}
		deltas++
		require.LessOrEqual(t, len(delta.Program), len(next)/minDeltaGain)
		value, err := delta.Apply(base)
		require.NoError(t, err)
		require.Equal(t, next, value)
	})
	require.Positive(t, deltas)
}

func TestDamagedDeltaNeverYieldsAWrongValue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base, next := drawChange(t)
		delta, ok := Diff(base, next)
		if !ok || len(delta.Program) == 0 {
			return
		}
		switch at := rapid.IntRange(0, len(delta.Program)-1).Draw(t, "at"); rapid.IntRange(0, 2).Draw(t, "damage") {
		case 0:
			delta.Program[at] ^= rapid.ByteRange(1, 255).Draw(t, "bits")
		case 1:
			delta.Program = delta.Program[:at]
		case 2:
			delta.Program = slices.Insert(delta.Program, at, rapid.SliceOfN(rapid.Byte(), 1, 12).Draw(t, "inserted")...)
		}
		if value, err := delta.Apply(base); err == nil {
			require.Equal(t, next, value)
		}
	})
}

// FuzzDelta checks that any program yields an error or the value of its digest, and that the delta between any two values
// yields the second one.
func FuzzDelta(f *testing.F) {
	base, next := largeTestValue(3), largeTestValue(3)
	next.Elements[1].Key = "changed"
	delta, _ := Diff(encoded(f, base), encoded(f, next))
	f.Add(encoded(f, base), encoded(f, next), delta.Program)
	f.Add([]byte{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}, []byte{0xbf}, []byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01})
	f.Add(bytes.Repeat([]byte{0x81}, 4096), bytes.Repeat([]byte{0xc1}, 4096), []byte{0, 0})
	f.Fuzz(func(t *testing.T, base, next, program []byte) {
		hostile := Delta{Base: DigestValue(base), Result: DigestValue(next), Program: program}
		if value, err := hostile.Apply(base); err == nil {
			require.True(t, bytes.Equal(next, value))
		}
		if delta, ok := Diff(base, next); ok {
			value, err := delta.Apply(base)
			require.NoError(t, err)
			require.True(t, bytes.Equal(next, value))
		}
	})
}

func BenchmarkDelta(b *testing.B) {
	base, next := largeTestValue(500), largeTestValue(500)
	next.Elements[250].Key = "changed"
	baseRaw, nextRaw := encoded(b, base), encoded(b, next)
	delta, ok := Diff(baseRaw, nextRaw)
	require.True(b, ok)
	b.Run("diff", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, _ = Diff(baseRaw, nextRaw)
		}
	})
	b.Run("apply", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, _ = delta.Apply(baseRaw)
		}
	})
	b.ReportMetric(float64(len(nextRaw)), "value-bytes")
	b.ReportMetric(float64(len(delta.Program)), "delta-bytes")
}
