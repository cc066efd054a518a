// Package weights describes the weights of a model version as chunks and decides which chunk a box
// fetches next, and from where.
//
// A manifest lists the files of a version and their chunks in order, a BLAKE3 digest for each chunk,
// and a digest of all content. The digest of the manifest itself pins the version: a box that works
// from a pinned manifest cannot mix chunks of two versions. Chunks with equal digests are
// interchangeable between versions.
//
// Picker makes decisions only: callers pass in the current time and the results of fetches, and Next
// returns the next fetch. It does no I/O, so agents, tests and benchmarks run the same code.
//
// # Usage
//
//	manifest, err := weights.Parse(content, pin)
//	picker := weights.NewPicker(manifest, self, held, options, now)
//	picker.SetOriginFetchers(peers)
//	picker.SetNeighbours(neighbours)
//	picker.SetHoldings("box-2", bits)
//	task, ok := picker.Next(now)
//	// Fetch task.Chunk from the box task.From, or from the origin if task.FromOrigin().
//	err = store.Put(manifest, task.Chunk, data) // rejects data with another digest
//	picker.Done(task, now)
package weights

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"

	"github.com/zeebo/blake3"
)

// DigestSize is the length of a digest in bytes.
const DigestSize = 32

// Digest is a BLAKE3 digest, or a digest by the algorithm in Manifest.Hash.
type Digest [DigestSize]byte

// Sum returns the BLAKE3 digest of data.
func Sum(data []byte) Digest { return blake3.Sum256(data) }

// Hash names the algorithm of chunk digests.
type Hash string

// The supported algorithms. The empty value means BLAKE3.
const (
	HashBLAKE3 Hash = ""
	HashSHA256 Hash = "sha256"
)

// Sum returns the digest of a chunk.
func (h Hash) Sum(data []byte) Digest {
	if h == HashSHA256 {
		return sha256.Sum256(data)
	}
	return Sum(data)
}

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Short returns the first 12 hexadecimal digits of the digest, for logs and errors.
func (d Digest) Short() string { return hex.EncodeToString(d[:6]) }

// IsZero reports whether the digest is unset.
func (d Digest) IsZero() bool { return d == Digest{} }

// MarshalText returns the digest in hexadecimal.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText decodes a digest in hexadecimal.
func (d *Digest) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != DigestSize {
		return fmt.Errorf("digest has %d digits, want %d", len(text), 2*DigestSize)
	}
	if _, err := hex.Decode(d[:], text); err != nil {
		return fmt.Errorf("decoding digest: %w", err)
	}
	return nil
}

// DigestFromBytes decodes a digest in binary form. The length of raw must be DigestSize.
func DigestFromBytes(raw []byte) (Digest, error) {
	var digest Digest
	if len(raw) != DigestSize {
		return digest, fmt.Errorf("digest has %d bytes, want %d", len(raw), DigestSize)
	}
	copy(digest[:], raw)
	return digest, nil
}

// The errors of this package.
var (
	// ErrDigestMismatch reports data whose digest differs from the expected one.
	ErrDigestMismatch = errors.New("digest does not match")
	// ErrInvalidManifest reports a manifest that cannot be decoded or whose chunks do not cover its files.
	ErrInvalidManifest = errors.New("manifest is invalid")
	// ErrStoreFull reports that the store has reached its memory limit.
	ErrStoreFull = errors.New("store is full")
	// ErrChunkNotFound reports a chunk that the store does not hold.
	ErrChunkNotFound = errors.New("chunk not found")
)

// File is one file of a model version.
type File struct {
	Path string `json:"path"`
	// Size is in bytes.
	Size int64 `json:"size"`
	// Blob is the name of the file's content in the weight store, for example "sha256:…".
	Blob string `json:"blob"`
}

// Chunk is a contiguous byte range of one file.
type Chunk struct {
	// File is the index of the file in Manifest.Files.
	File int `json:"file"`
	// Offset within the file and Size are in bytes.
	Offset int64  `json:"offset"`
	Size   int64  `json:"size"`
	Digest Digest `json:"digest"`
}

// Manifest describes one version of a model's weights. Chunks are in the order of the files.
type Manifest struct {
	Model   string  `json:"model"`
	Version string  `json:"version"`
	Files   []File  `json:"files"`
	Chunks  []Chunk `json:"chunks"`
	// WholeDigest is the digest of all content in order. It is zero if the publisher provides digests
	// of the chunks only.
	WholeDigest Digest `json:"whole"`
	// Hash is the algorithm of the chunk digests; empty for BLAKE3.
	Hash Hash `json:"hash,omitempty"`

	digest Digest
	size   int64
	raw    []byte
}

// Digest returns the BLAKE3 digest of the encoded manifest.
func (m *Manifest) Digest() Digest { return m.digest }

// Raw returns the encoded manifest, from which Digest is computed. Callers must not modify it.
func (m *Manifest) Raw() []byte { return m.raw }

// Size returns the size of all content in bytes.
func (m *Manifest) Size() int64 { return m.size }

// Parse decodes a manifest and checks it against the pinned digest. A zero pin accepts any valid
// manifest. Errors wrap ErrDigestMismatch or ErrInvalidManifest.
func Parse(content []byte, pin Digest) (*Manifest, error) {
	digest := Sum(content)
	if !pin.IsZero() && digest != pin {
		return nil, fmt.Errorf("manifest %s, pinned %s: %w", digest.Short(), pin.Short(), ErrDigestMismatch)
	}
	var manifest Manifest
	if err := json.Unmarshal(content, &manifest); err != nil {
		return nil, fmt.Errorf("decoding manifest: %w: %w", ErrInvalidManifest, err)
	}
	manifest.digest = digest
	manifest.raw = content
	if err := manifest.check(); err != nil {
		return nil, err
	}
	return &manifest, nil
}

// check requires at least one chunk and that the chunks cover each file exactly once and in order, and sets the size.
func (m *Manifest) check() error {
	if len(m.Chunks) == 0 {
		return fmt.Errorf("manifest has no chunks: %w", ErrInvalidManifest)
	}
	file, offset := 0, int64(0)
	m.size = 0
	for i, chunk := range m.Chunks {
		for file < len(m.Files) && offset == m.Files[file].Size {
			file, offset = file+1, 0
		}
		if chunk.File != file || chunk.Offset != offset || chunk.Size <= 0 || file >= len(m.Files) ||
			chunk.Size > m.Files[file].Size-offset || chunk.Size > math.MaxInt64-m.size {
			return fmt.Errorf("chunk %d covers file %d from offset %d for %d bytes, want file %d from offset %d: %w",
				i, chunk.File, chunk.Offset, chunk.Size, file, offset, ErrInvalidManifest)
		}
		offset += chunk.Size
		m.size += chunk.Size
	}
	for file < len(m.Files) && offset == m.Files[file].Size {
		file, offset = file+1, 0
	}
	if file != len(m.Files) {
		return fmt.Errorf("chunks cover file %d up to byte %d of %d: %w", file, offset, m.Files[file].Size, ErrInvalidManifest)
	}
	return nil
}

// Layout is the division of a version that consists of one file into chunks of equal size.
type Layout struct {
	Chunks int
	// ChunkSize is in bytes.
	ChunkSize int64
}

// Check returns an error that wraps ErrInvalidManifest if a manifest does not have the layout.
func (l Layout) Check(m *Manifest) error {
	if len(m.Files) != 1 || len(m.Chunks) != l.Chunks {
		return fmt.Errorf("%d chunks in %d files, want %d in one: %w", len(m.Chunks), len(m.Files), l.Chunks, ErrInvalidManifest)
	}
	for i, chunk := range m.Chunks {
		if chunk.Size != l.ChunkSize {
			return fmt.Errorf("chunk %d has %d bytes, want %d: %w", i, chunk.Size, l.ChunkSize, ErrInvalidManifest)
		}
	}
	return nil
}

// Source is one file to publish.
type Source struct {
	Path string
	Blob string
	Open func() (io.ReadCloser, error)
}

// Build reads each source once and returns its manifest, also in encoded form. The chunk size is in
// bytes; the last chunk of a file can be smaller.
func Build(model, version string, sources []Source, chunkSize int64) (*Manifest, []byte, error) {
	manifest := &Manifest{Model: model, Version: version}
	hasher := blake3.New()
	buffer := make([]byte, chunkSize)
	for _, source := range sources {
		if err := manifest.add(source, hasher, buffer); err != nil {
			return nil, nil, fmt.Errorf("reading %s: %w", source.Path, err)
		}
	}
	hasher.Sum(manifest.WholeDigest[:0])
	content, err := json.Marshal(manifest)
	if err != nil {
		return nil, nil, fmt.Errorf("encoding manifest: %w", err)
	}
	parsed, err := Parse(content, Digest{})
	return parsed, content, err
}

func (m *Manifest) add(source Source, hasher io.Writer, buffer []byte) error {
	reader, err := source.Open()
	if err != nil {
		return err
	}
	defer func() { _ = reader.Close() }()
	file := File{Path: source.Path, Blob: source.Blob}
	for {
		n, err := io.ReadFull(reader, buffer)
		if n > 0 {
			m.Chunks = append(m.Chunks, Chunk{File: len(m.Files), Offset: file.Size, Size: int64(n), Digest: Sum(buffer[:n])})
			file.Size += int64(n)
			_, _ = hasher.Write(buffer[:n])
		}
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			break
		}
		if err != nil {
			return err
		}
	}
	m.Files = append(m.Files, file)
	return nil
}

// FromDigests returns the manifest of a version that consists of chunks of equal size in bytes, given
// the digests of the chunks in order. Errors wrap ErrInvalidManifest.
func FromDigests(model, version string, hash Hash, chunkSize int64, digests []Digest) (*Manifest, error) {
	size := chunkSize * int64(len(digests))
	manifest := &Manifest{Model: model, Version: version, Hash: hash, Files: []File{{Path: model, Size: size}}}
	for i, digest := range digests {
		manifest.Chunks = append(manifest.Chunks, Chunk{Offset: int64(i) * chunkSize, Size: chunkSize, Digest: digest})
	}
	content, err := json.Marshal(manifest)
	if err != nil {
		return nil, fmt.Errorf("encoding manifest: %w", err)
	}
	return Parse(content, Digest{})
}
