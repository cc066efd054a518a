// Package weights describes a version of a model's weights as chunks and
// decides which chunk a box fetches next, and from whom.
//
// A manifest lists files and their chunks in order, each chunk with its BLAKE3
// digest, and the digest of the whole. The digest of the manifest itself pins
// the version: a box that works from a pinned manifest can never mix chunks of
// two versions. Chunks with equal digests are interchangeable between versions.
//
// Picker is a pure decision: it is told the time and what happened and answers
// with the next fetch. It does no I/O, so the same code runs in the agent, in
// tests and in measurements.
//
// # Usage
//
//	manifest, err := weights.Parse(content, pinned)
//	picker := weights.NewPicker(manifest, self, options, now)
//	picker.SetOriginFetchers(drawers)
//	picker.SetNeighbours(neighbours)
//	picker.SetHoldings("box-2", bits)
//	task, ok := picker.Next(now)
//	// fetch task.Chunk from task.From, or from the origin if task.From is ""
//	err = store.Put(manifest, task.Chunk, data) // refuses a wrong digest
//	picker.Done(task, now)
package weights

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/zeebo/blake3"
)

// DigestSize is the length of a digest in bytes.
const DigestSize = 32

// Digest is a BLAKE3 digest, or what the manifest's Hash names.
type Digest [DigestSize]byte

// Sum returns the digest of data.
func Sum(data []byte) Digest { return blake3.Sum256(data) }

// Hash names how digests of chunks are made.
type Hash string

// The hashes of chunks.
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

// Short returns the first digits of the digest, for people.
func (d Digest) Short() string { return hex.EncodeToString(d[:6]) }

// IsZero reports whether the digest was never set.
func (d Digest) IsZero() bool { return d == Digest{} }

// MarshalText returns the digest in hexadecimal.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText reads a digest in hexadecimal.
func (d *Digest) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != DigestSize {
		return fmt.Errorf("digest has %d digits, want %d", len(text), 2*DigestSize)
	}
	if _, err := hex.Decode(d[:], text); err != nil {
		return fmt.Errorf("decoding digest: %w", err)
	}
	return nil
}

// DigestFromBytes converts the form used on the wire.
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
	// ErrDigestMismatch reports data that does not have the digest it should have.
	ErrDigestMismatch = errors.New("digest does not match")
	// ErrInvalidManifest reports a manifest that disagrees with itself.
	ErrInvalidManifest = errors.New("manifest is not consistent")
	// ErrStoreFull reports that the store's memory limit is reached.
	ErrStoreFull = errors.New("store is full")
	// ErrChunkNotFound reports a chunk that is not held.
	ErrChunkNotFound = errors.New("chunk is not held")
)

// File is one file of a version.
type File struct {
	Path string `json:"path"`
	// Size is in bytes.
	Size int64 `json:"size"`
	// Blob is the name of the file's content in the weight store, such as
	// "sha256:…".
	Blob string `json:"blob"`
}

// Chunk is a range of one file.
type Chunk struct {
	File int `json:"file"`
	// Offset and Size are in bytes.
	Offset int64  `json:"offset"`
	Size   int64  `json:"size"`
	Digest Digest `json:"digest"`
}

// Manifest describes one version. Chunks stand in the order of the files.
type Manifest struct {
	Model   string  `json:"model"`
	Version string  `json:"version"`
	Files   []File  `json:"files"`
	Chunks  []Chunk `json:"chunks"`
	// WholeDigest is the digest of all content in order; zero where the publisher gives
	// only those of the chunks.
	WholeDigest Digest `json:"whole"`
	// Hash is how the digests of the chunks were made; empty for BLAKE3.
	Hash Hash `json:"hash,omitempty"`

	digest Digest
	size   int64
	raw    []byte
}

// Digest returns the digest of the manifest's own encoding.
func (m *Manifest) Digest() Digest { return m.digest }

// Raw returns the encoding that Digest covers. It must not be changed.
func (m *Manifest) Raw() []byte { return m.raw }

// Size returns the bytes of all content.
func (m *Manifest) Size() int64 { return m.size }

// Parse reads a manifest and checks it against its pin. The zero pin accepts any
// manifest that is consistent. Errors wrap ErrDigestMismatch or ErrInvalidManifest.
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

// check requires that the chunks cover each file exactly once and in order.
func (m *Manifest) check() error {
	file, offset := 0, int64(0)
	m.size = 0
	for i, chunk := range m.Chunks {
		for file < len(m.Files) && offset == m.Files[file].Size {
			file, offset = file+1, 0
		}
		if chunk.File != file || chunk.Offset != offset || chunk.Size <= 0 || file >= len(m.Files) ||
			chunk.Size > m.Files[file].Size-offset {
			return fmt.Errorf("chunk %d covers file %d from %d for %d bytes, expected file %d from %d: %w",
				i, chunk.File, chunk.Offset, chunk.Size, file, offset, ErrInvalidManifest)
		}
		offset += chunk.Size
		m.size += chunk.Size
	}
	for file < len(m.Files) && offset == m.Files[file].Size {
		file, offset = file+1, 0
	}
	if file != len(m.Files) {
		return fmt.Errorf("file %d is covered up to byte %d of %d: %w", file, offset, m.Files[file].Size, ErrInvalidManifest)
	}
	return nil
}

// Source is one file to be published.
type Source struct {
	Path string
	Blob string
	Open func() (io.ReadCloser, error)
}

// Build reads files once and returns the manifest with its encoding.
func Build(model, version string, sources []Source, chunkSize int64) (*Manifest, []byte, error) {
	manifest := &Manifest{Model: model, Version: version}
	whole := blake3.New()
	buffer := make([]byte, chunkSize)
	for _, source := range sources {
		if err := manifest.add(source, whole, buffer); err != nil {
			return nil, nil, fmt.Errorf("reading %s: %w", source.Path, err)
		}
	}
	whole.Sum(manifest.WholeDigest[:0])
	content, err := json.Marshal(manifest)
	if err != nil {
		return nil, nil, fmt.Errorf("encoding manifest: %w", err)
	}
	parsed, err := Parse(content, Digest{})
	return parsed, content, err
}

func (m *Manifest) add(source Source, whole io.Writer, buffer []byte) error {
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
			_, _ = whole.Write(buffer[:n])
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

// FromDigests returns the manifest of a version that is published as numbered
// chunks of one size with their digests. Errors wrap ErrInvalidManifest.
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
