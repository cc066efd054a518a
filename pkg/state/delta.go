package state

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"
)

// ValueDigest identifies the content of a value, whatever its version.
type ValueDigest uint64

// DigestValue returns the digest of a value.
func DigestValue(value []byte) ValueDigest { return ValueDigest(xxhash.Sum64(value)) }

// Delta describes one value as a change of another one.
type Delta struct {
	// Base and Result are the digests of the value that the delta applies to and of the one that it yields.
	Base, Result ValueDigest
	// Program is a sequence of copies of ranges of the base, and of literal bytes. Each starts with its length in bytes,
	// shifted to the left by one, as an unsigned varint. The lowest bit is 0 for a copy, whose offset in the base follows
	// as another varint, and 1 for literal bytes, which follow.
	Program []byte
}

const (
	// literalBit marks literal bytes in a program.
	literalBit = 1
	// minCopy is the shortest range, in bytes, for which Diff searches the base. A copy takes up to seven bytes.
	minCopy = 16
	// maxUndivided is the size in bytes up to which Diff does not divide an array or a map.
	maxUndivided = 128
	// maxDepth bounds the nesting of the arrays and maps in a value that Diff divides.
	maxDepth = 32
	// maxDeltaValue bounds the value, in bytes, that a delta yields.
	maxDeltaValue = 16 << 20
	// minDeltaGain is the divisor of the size of a value that gives the largest program of a delta that yields it.
	minDeltaGain = 2
)

var (
	errDamagedDelta = errors.New("damaged delta")
	errOtherBase    = errors.New("delta of another value")
)

// Diff returns the delta from one value to another one. Both are in the encoding of Encode. ok is false if the delta is
// not clearly smaller than the value, or if the values are not well-formed.
//
// It divides the values at the elements of their arrays and maps, so that inserted, removed, moved and changed elements
// cost only their own size. The cost is proportional to the sizes of the values.
func Diff(base, next []byte) (delta Delta, ok bool) {
	delta = Delta{Base: DigestValue(base), Result: DigestValue(next)}
	if len(next) > maxDeltaValue {
		return Delta{}, false
	}
	if bytes.Equal(base, next) {
		delta.Program = appendCopy(nil, 0, len(base))
		return delta, len(delta.Program) <= len(next)/minDeltaGain
	}
	baseStarts, isBaseValid := elementStarts(base)
	nextStarts, isNextValid := elementStarts(next)
	if !isBaseValid || !isNextValid {
		return Delta{}, false
	}
	c := comparison{base: base, next: next, offsets: make(map[uint64]int, len(baseStarts))}
	for i := len(baseStarts) - 1; i >= 0; i-- {
		if anchor := anchorAt(base, baseStarts, i); anchor != nil {
			c.offsets[xxhash.Sum64(anchor)] = baseStarts[i]
		}
	}
	for i, start := range nextStarts {
		end := len(next)
		if i+1 < len(nextStarts) {
			end = nextStarts[i+1]
		}
		if end <= c.done {
			continue
		}
		if offset, ok := c.find(start, anchorAt(next, nextStarts, i)); ok {
			c.copyAt(offset, start)
		}
		if len(c.program) > len(next)/minDeltaGain {
			return Delta{}, false
		}
	}
	delta.Program = appendLiteral(c.program, next[c.done:])
	return delta, len(delta.Program) <= len(next)/minDeltaGain
}

// comparison is the state of Diff.
type comparison struct {
	base, next []byte
	// offsets holds the first offset of each anchor of the base, by its hash.
	offsets map[uint64]int
	program []byte
	// done is the end of the part of next that the program yields, and following that of the last copy's range of the base.
	done, following int
}

// find returns the offset in the base of an anchor at an offset in next. Of equal ranges of the base, it prefers the one that
// continues the last copy after a change of the same length.
func (c *comparison) find(start int, anchor []byte) (offset int, ok bool) {
	if anchor == nil {
		return 0, false
	}
	offset = c.following + start - c.done
	if offset >= 0 && offset < len(c.base) && bytes.HasPrefix(c.base[offset:], anchor) {
		return offset, true
	}
	offset, ok = c.offsets[xxhash.Sum64(anchor)]
	return offset, ok && bytes.HasPrefix(c.base[offset:], anchor)
}

// copyAt adds the longest copy that has the range at an offset in the base for the one at an offset in next, and the
// literal bytes before it. The last copy may end beyond the start of the range.
func (c *comparison) copyAt(offset, start int) {
	if covered := c.done - start; covered > 0 {
		offset, start = offset+covered, c.done
	}
	before := commonSuffix(c.base[:offset], c.next[c.done:start])
	length := before + commonPrefix(c.base[offset:], c.next[start:])
	c.program = appendLiteral(c.program, c.next[c.done:start-before])
	c.program = appendCopy(c.program, offset-before, length)
	c.done, c.following = start-before+length, offset-before+length
}

// Apply returns the value that the delta yields. It returns an error if base is another value than that of which the
// delta was made, or if the delta is damaged.
func (d *Delta) Apply(base []byte) ([]byte, error) {
	if digest := DigestValue(base); digest != d.Base {
		return nil, fmt.Errorf("applying delta from %016x to %016x: %w: %016x", uint64(d.Base), uint64(d.Result), errOtherBase, uint64(digest))
	}
	size := 0
	err := d.run(len(base), func(_, length int, _ []byte) error {
		if size += length; size > maxDeltaValue {
			return fmt.Errorf("%w: more than %d bytes", errDamagedDelta, maxDeltaValue)
		}
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("applying delta from %016x to %016x: %w", uint64(d.Base), uint64(d.Result), err)
	}
	value := make([]byte, 0, size)
	// The program was checked above.
	_ = d.run(len(base), func(offset, length int, literal []byte) error {
		if literal == nil {
			literal = base[offset : offset+length]
		}
		value = append(value, literal...)
		return nil
	})
	if digest := DigestValue(value); digest != d.Result {
		return nil, fmt.Errorf("applying delta from %016x to %016x: %w: it yields %016x", uint64(d.Base), uint64(d.Result), errDamagedDelta, uint64(digest))
	}
	return value, nil
}

// run calls do with each copy and each literal of the program, until that returns an error. literal is nil for a copy.
func (d *Delta) run(baseLength int, do func(offset, length int, literal []byte) error) error {
	for rest := d.Program; len(rest) > 0; {
		head, n := binary.Uvarint(rest)
		if n <= 0 {
			return fmt.Errorf("%w: invalid length", errDamagedDelta)
		}
		rest = rest[n:]
		var offset uint64
		var literal []byte
		length := head >> 1
		if head&literalBit != 0 {
			if length > uint64(len(rest)) {
				return fmt.Errorf("%w: %d literal bytes of %d", errDamagedDelta, len(rest), length)
			}
			literal, rest = rest[:length:length], rest[length:]
		} else {
			if offset, n = binary.Uvarint(rest); n <= 0 {
				return fmt.Errorf("%w: invalid offset", errDamagedDelta)
			}
			rest = rest[n:]
			if offset > uint64(baseLength) || length > uint64(baseLength)-offset {
				return fmt.Errorf("%w: copy of %d bytes at %d of %d", errDamagedDelta, length, offset, baseLength)
			}
		}
		if err := do(int(offset), int(length), literal); err != nil {
			return err
		}
	}
	return nil
}

func appendLiteral(program, literal []byte) []byte {
	if len(literal) == 0 {
		return program
	}
	return append(binary.AppendUvarint(program, uint64(len(literal))<<1|literalBit), literal...)
}

func appendCopy(program []byte, offset, length int) []byte {
	return binary.AppendUvarint(binary.AppendUvarint(program, uint64(length)<<1), uint64(offset))
}

// anchorAt returns the shortest sequence of whole elements of a value that begins with its element i and has at least
// minCopy bytes; nil if there is none.
func anchorAt(value []byte, starts []int, i int) []byte {
	for j := i + 1; j < len(starts); j++ {
		if starts[j]-starts[i] >= minCopy {
			return value[starts[i]:starts[j]]
		}
	}
	if len(value)-starts[i] >= minCopy {
		return value[starts[i]:]
	}
	return nil
}

func commonPrefix(a, b []byte) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

func commonSuffix(a, b []byte) int {
	n := 0
	for n < len(a) && n < len(b) && a[len(a)-1-n] == b[len(b)-1-n] {
		n++
	}
	return n
}

// elementStarts returns the offsets at which the elements of an encoded value begin, in order. The elements of an array
// or a map of up to maxUndivided bytes are left out. ok is false if the value is not well-formed, or has items of
// indefinite length, which Encode does not produce.
func elementStarts(value []byte) (starts []int, ok bool) {
	s := elementScanner{value: value, starts: make([]int, 0, len(value)/maxUndivided)}
	end, ok := s.scan(0, 0)
	return s.starts, ok && end == len(value)
}

type elementScanner struct {
	value  []byte
	starts []int
}

// The major types of CBOR, as in RFC 8949, section 3.1, and the values of the additional information in a head.
const (
	cborByteString = 2
	cborTextString = 3
	cborArray      = 4
	cborMap        = 5
	cborTag        = 6

	cborOneByteArgument   = 24
	cborEightByteArgument = 27
)

// scan adds the starts of the elements of the item at an offset and returns the end of the item.
func (s *elementScanner) scan(start, depth int) (end int, ok bool) {
	major, argument, end, ok := s.head(start)
	if !ok || depth > maxDepth {
		return 0, false
	}
	s.starts = append(s.starts, start)
	children := uint64(0)
	switch major {
	case cborByteString, cborTextString:
		if argument > uint64(len(s.value)-end) {
			return 0, false
		}
		return end + int(argument), true
	case cborArray:
		children = argument
	case cborMap:
		if argument > math.MaxInt32 {
			return 0, false
		}
		children = 2 * argument
	case cborTag:
		children = 1
	}
	own := len(s.starts)
	for range children {
		if end, ok = s.scan(end, depth+1); !ok {
			return 0, false
		}
	}
	if end-start <= maxUndivided {
		s.starts = s.starts[:own]
	}
	return end, true
}

// head decodes the head of the item at an offset.
func (s *elementScanner) head(start int) (major byte, argument uint64, end int, ok bool) {
	if start >= len(s.value) {
		return 0, 0, 0, false
	}
	major, information := s.value[start]>>5, s.value[start]&0x1f
	end = start + 1
	switch {
	case information < cborOneByteArgument:
		return major, uint64(information), end, true
	case information > cborEightByteArgument:
		return 0, 0, 0, false
	}
	size := 1 << (information - cborOneByteArgument)
	if size > len(s.value)-end {
		return 0, 0, 0, false
	}
	for _, b := range s.value[end : end+size] {
		argument = argument<<8 | uint64(b)
	}
	return major, argument, end + size, true
}
