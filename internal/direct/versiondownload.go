package direct

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/cinderslip/cinderslip/internal/provider"
	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/weights"
)

const (
	// downloadGroups is the number of groups in which servers download a version, and downloadStagger the
	// delay between the starts of two groups. A longer delay leaves links unused.
	downloadGroups  = 3
	downloadStagger = 300 * time.Millisecond
	// swapTimeout limits the time in which the server must have loaded the ordered version. It includes the
	// running streams, which the server finishes first.
	swapTimeout = 10 * time.Second
	// maxSwapNotice is how long before the load order entry boxes are notified to send the server no more
	// requests. The wait ends earlier if the server is idle.
	maxSwapNotice = 400 * time.Millisecond
)

// versionDownload is the download of one version, in progress or complete.
type versionDownload struct {
	cancel context.CancelFunc
	// completedAt is when the last chunk was received; zero until then.
	completedAt time.Time
}

// startDownload starts the download of a version unless it has been started before. Downloads of older versions
// continue, because the origin may become unavailable before the newer version is complete.
func (l *Loader) startDownload(desired *target, version fleet.WeightsVersion) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.downloads[version] != nil {
		return
	}
	ctx, cancel := context.WithCancel(l.tasks.Context())
	d := &versionDownload{cancel: cancel}
	l.downloads[version] = d
	l.tasks.Go(func(context.Context) { l.download(ctx, desired, version, d) })
}

// cancelDownloads cancels and removes all downloads. Chunks that have been received stay in the store.
func (l *Loader) cancelDownloads() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for version, d := range l.downloads {
		d.cancel()
		delete(l.downloads, version)
	}
}

// newestComplete returns the newest version of which all chunks have been downloaded, and the time at which its
// download was complete. The version is 0 if there is none.
func (l *Loader) newestComplete() (newest fleet.WeightsVersion, since time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for version, d := range l.downloads {
		if !d.completedAt.IsZero() && version > newest {
			newest, since = version, d.completedAt
		}
	}
	return newest, since
}

// markComplete marks a download as complete and cancels the downloads of older versions.
func (l *Loader) markComplete(version fleet.WeightsVersion, d *versionDownload) {
	l.mu.Lock()
	defer l.mu.Unlock()
	d.completedAt = l.options.Clock.Now()
	l.originSchedule.setComplete(version)
	for older, other := range l.downloads {
		if older < version {
			other.cancel()
			l.originSchedule.setComplete(older)
		}
	}
}

// download fetches the manifest and the chunks of a version, and retries until all chunks have been received or
// the context ends.
func (l *Loader) download(ctx context.Context, desired *target, version fleet.WeightsVersion, d *versionDownload) {
	started := l.options.Clock.Now()
	for ctx.Err() == nil {
		early := l.startEarlyFetches(ctx, desired, version)
		manifest, err := l.manifest(ctx, desired, version)
		if err == nil {
			l.importStaged(ctx, desired, version, manifest)
			err = l.fetchChunks(ctx, desired, version, manifest, early)
		}
		early.stopNew()
		if errors.Is(err, errDoubted) {
			l.doubtManifest(publishedVersion{desired.model, version}, manifest, err)
		}
		if err == nil {
			l.options.Log.Info().Str("model", string(desired.model)).Uint64("version", uint64(version)).
				Dur("taken_ms", l.options.Clock.Since(started)).Msg("weights fetched")
			l.markComplete(version, d)
			return
		}
		if ctx.Err() == nil {
			l.options.Log.Info().Str("model", string(desired.model)).Uint64("version", uint64(version)).
				Err(err).Msg("fetching weights failed, trying again")
		}
		sleep(ctx, l.options.Clock, loadRetryDelay)
		if now, known := l.target(); known {
			desired = &now
		}
	}
}

// swap stages a version and orders the server to load it. Staging replaces the chunks that were staged before and
// does not interrupt requests, so the server is marked as swapping only after it. If the order would come too long after the
// verification of a chunk, for example because the agent was paused, the chunks are verified again.
func (l *Loader) swap(ctx context.Context, desired *target, have, version fleet.WeightsVersion) error {
	serving := have > 0
	manifest, err := l.manifest(ctx, desired, version)
	if err != nil {
		return err
	}
	defer l.setSwapping(false)
	for pass := 1; ; pass++ {
		if err := l.stage(ctx, desired, manifest); err != nil {
			return fmt.Errorf("staging chunks: %w", err)
		}
		if serving && pass == 1 {
			l.setSwapping(true)
			l.awaitIdle(ctx, l.swapNotice(desired, have))
		}
		age := l.verifiedAge(manifest)
		l.options.Log.Info().Str("model", string(desired.model)).Uint64("version", uint64(version)).Str("manifest", manifest.Digest().Short()).
			Int("pieces", len(manifest.Chunks)).Dur("oldest_ms", age).Msg("staged pieces verified")
		if age <= maxVerifiedAge || pass == maxStagePasses {
			break
		}
	}
	return l.orderSwap(ctx, desired, version, serving)
}

const (
	// maxVerifiedAge is how long before the load order a staged chunk may have been verified. Verifying all chunks and
	// maxSwapNotice take less.
	maxVerifiedAge = 2500 * time.Millisecond
	// maxStagePasses limits how often the chunks are verified for one order. A box on which that always takes longer than
	// maxVerifiedAge is slow, not paused.
	maxStagePasses = 3
)

// verifiedAge returns the time since the first of the staged chunks was last verified.
func (l *Loader) verifiedAge(manifest *weights.Manifest) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	oldest := l.options.Clock.Now()
	for index := range manifest.Chunks {
		at := l.verified.at[index]
		if l.verified.digest != manifest.Digest() {
			at = time.Time{}
		}
		if at.Before(oldest) {
			oldest = at
		}
	}
	return l.options.Clock.Since(oldest)
}

// swapNotice returns how long before the load order entry boxes are notified. Shortly before the cutoff of the version that
// the server has, they send it no requests any more.
func (l *Loader) swapNotice(desired *target, have fleet.WeightsVersion) time.Duration {
	cutoff, ok := desired.published.CutoffTime(have, l.options.VersionBound)
	if ok && l.options.Clock.Now().After(cutoff.Add(-cutoffMargin)) {
		return 0
	}
	return maxSwapNotice
}

// awaitIdle waits until the server is idle, at most for the given duration.
func (l *Loader) awaitIdle(ctx context.Context, wait time.Duration) {
	if wait == 0 {
		return
	}
	until := l.options.Clock.Now().Add(wait)
	// The status reaches the entry boxes within a few round trips.
	sleep(ctx, l.options.Clock, reportInterval)
	for ctx.Err() == nil && l.options.Clock.Now().Before(until) && !l.isIdle() {
		sleep(ctx, l.options.Clock, reportInterval/2)
	}
}

// isIdle reports whether the server has no running and no queued requests. It is false if the last request for a
// report failed.
func (l *Loader) isIdle() bool {
	report, responding := l.serverReport()
	return responding && report.Running+report.Waiting == 0
}

// swapTime returns when this server is to be swapped from the version that it has to another one, whose download
// was complete at completedAt.
func (l *Loader) swapTime(desired *target, have, version fleet.WeightsVersion, completedAt time.Time) time.Time {
	publishedAt := desired.published.PublishedAt(version)
	cutoff, ok := desired.published.CutoffTime(have, l.options.VersionBound)
	if !ok || publishedAt.IsZero() {
		return completedAt
	}
	position, servers := l.swapPosition(desired, version)
	return weights.SwapWindow{Published: publishedAt, Cutoff: cutoff, Position: position, Servers: servers}.Start(completedAt)
}

// swapPosition returns the position of this server in the order of swaps to a version, from 0, and the number of
// servers in the order. A server that is not in the order, because it is leaving or not listed, comes last.
func (l *Loader) swapPosition(desired *target, version fleet.WeightsVersion) (position, servers int) {
	addresses := make([]member.Address, 0, len(desired.servers))
	for _, server := range desired.servers {
		addresses = append(addresses, server.Address)
	}
	order := member.Rank(fmt.Sprintf("swap/%s/%d", desired.model, version), addresses, len(addresses))
	if position = slices.Index(order, l.options.Address); position < 0 {
		position = len(order)
	}
	return position, max(1, len(order))
}

// restrictedUntil returns the time until which this box leaves the capacity of the links to boxes whose servers
// are swapped earlier. It is zero for a server without weights, which need not wait.
func (l *Loader) restrictedUntil(desired *target, version fleet.WeightsVersion) time.Time {
	report, responding := l.serverReport()
	publishedAt := desired.published.PublishedAt(version)
	if publishedAt.IsZero() || responding && loadedVersion(&report, desired.model, desired.engine.Layers) == 0 {
		return time.Time{}
	}
	position, servers := l.swapPosition(desired, version)
	return publishedAt.Add(downloadStagger * time.Duration(position*downloadGroups/servers))
}

// stage writes every chunk to the server's staging area and reads it back. Chunks that are staged already are read
// too, because they may have been corrupted.
func (l *Loader) stage(ctx context.Context, desired *target, manifest *weights.Manifest) error {
	for index := range manifest.Chunks {
		if l.isRecentlyVerified(manifest, index) || l.verifyStaged(ctx, desired, manifest, index) {
			continue
		}
		data, err := l.store.Get(manifest.Digest(), index)
		if err != nil {
			return err
		}
		callCtx, cancel := context.WithTimeout(ctx, serverCallTimeout)
		err = l.options.Server.Stage(callCtx, desired.model, index, data)
		cancel()
		if err != nil {
			return err
		}
		if !l.verifyStaged(ctx, desired, manifest, index) {
			return fmt.Errorf("verifying staged chunk %d: %w", index, weights.ErrDigestMismatch)
		}
	}
	return nil
}

// stagedValidity is how long a staged chunk counts as verified after it was read from the server. After a loss of
// power the server has no weights until all chunks are verified, so they are not read twice. A second read within
// this time would not reliably detect corruption either, because it may also happen just after that read.
const stagedValidity = time.Second

// isRecentlyVerified reports whether a staged chunk was verified less than stagedValidity ago.
func (l *Loader) isRecentlyVerified(manifest *weights.Manifest, index int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.verified.digest == manifest.Digest() && l.options.Clock.Since(l.verified.at[index]) < stagedValidity
}

// noteVerified records that a staged chunk was read from the server and matches its digest.
func (l *Loader) noteVerified(manifest *weights.Manifest, index int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.verified.digest != manifest.Digest() {
		l.verified = verifiedChunks{digest: manifest.Digest(), at: make(map[int]time.Time)}
	}
	l.verified.at[index] = l.options.Clock.Now()
}

// verifiedChunks holds the times at which the staged chunks of one version were last verified.
type verifiedChunks struct {
	digest weights.Digest
	at     map[int]time.Time
}

// verifyStaged reads a staged chunk from the server, records whether it matches its digest and reports that.
func (l *Loader) verifyStaged(ctx context.Context, desired *target, manifest *weights.Manifest, index int) bool {
	callCtx, cancel := context.WithTimeout(ctx, serverCallTimeout)
	defer cancel()
	data, err := l.options.Server.ReadStaged(callCtx, desired.model, index, manifest.Chunks[index].Size)
	if err != nil || manifest.Hash.Sum(data) != manifest.Chunks[index].Digest {
		return false
	}
	l.noteVerified(manifest, index)
	return true
}

// importStaged copies the missing chunks of a version that are staged at the server into the store. It stops if
// chunk 0 is missing or belongs to another version.
func (l *Loader) importStaged(ctx context.Context, desired *target, version fleet.WeightsVersion, manifest *weights.Manifest) {
	held := l.store.Held(manifest.Digest())
	imported := 0
	for index := range manifest.Chunks {
		if held.Has(index) {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, serverCallTimeout)
		data, err := l.options.Server.ReadStaged(callCtx, desired.model, index, manifest.Chunks[index].Size)
		cancel()
		if err != nil {
			if index == 0 {
				return
			}
			continue
		}
		if l.store.Put(manifest, index, data) == nil {
			imported++
			l.noteVerified(manifest, index)
		} else if index == 0 {
			return
		}
	}
	if imported > 0 {
		l.options.Log.Info().Str("model", string(desired.model)).Uint64("version", uint64(version)).Int("pieces", imported).Msg("staged pieces taken over")
	}
}

// importRunning copies the staged chunks of the version that the server runs into the store, so that other agents
// can fetch them. It does nothing if the agent already has the manifest of the version.
func (l *Loader) importRunning(ctx context.Context, desired *target, version fleet.WeightsVersion) error {
	if l.acceptedManifest(publishedVersion{desired.model, version}) != nil {
		return nil
	}
	manifest, err := l.manifest(ctx, desired, version)
	if err != nil {
		return err
	}
	l.importStaged(ctx, desired, version, manifest)
	return nil
}

// orderSwap orders the server to load the staged version and waits until it has, at most for swapTimeout. An order
// without a response may have been accepted, which the next report shows.
func (l *Loader) orderSwap(ctx context.Context, desired *target, version fleet.WeightsVersion, serving bool) error {
	before, _ := l.serverReport()
	callCtx, cancel := context.WithTimeout(ctx, serverCallTimeout)
	err := l.options.Server.Load(callCtx, provider.LoadOrder{Model: desired.model, Version: version, AbortRunning: serving && desired.resumable})
	cancel()
	l.options.Metrics.orders.WithLabelValues(resultLabel(err)).Inc()
	l.options.Log.Info().Str("model", string(desired.model)).Uint64("version", uint64(version)).
		Str("address", string(l.options.Address)).Bool("serving", serving).Err(err).Msg("server ordered to take weights")
	if err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("ordering server to load weights: %w", err)
	}
	ordered := l.options.Clock.Now()
	for ctx.Err() == nil && l.options.Clock.Since(ordered) < swapTimeout {
		report, reportErr := l.awaitReport(ctx)
		if reportErr != nil {
			return fmt.Errorf("reading progress of load order: %w", reportErr)
		}
		if report.Incarnation != before.Incarnation && before.Incarnation != 0 {
			return errServerRestarted
		}
		if loadedVersion(&report, desired.model, desired.engine.Layers) == version {
			l.options.Log.Info().Str("model", string(desired.model)).Uint64("version", uint64(version)).
				Str("address", string(l.options.Address)).Dur("taken_ms", l.options.Clock.Since(ordered)).Msg("weights live")
			return nil
		}
		if err != nil && !report.Busy {
			return fmt.Errorf("ordering server to load weights: %w", err)
		}
	}
	return fmt.Errorf("server has not loaded version %d of %s before the timeout", version, desired.model)
}

// maxSilentReports is the number of consecutive reports without a response after which a server that executes an order
// counts as failed. A server that pauses for a second or two goes on with the order.
const maxSilentReports = 3

// awaitReport reads the next report of a server that executes an order. It fails at once if the server responds with an
// error or refuses connections, and after maxSilentReports if it is silent.
func (l *Loader) awaitReport(ctx context.Context) (fleet.Report, error) {
	for silent := 1; ; silent++ {
		sleep(ctx, l.options.Clock, orderPollInterval)
		err := l.readReport(ctx)
		if err == nil {
			report, _ := l.serverReport()
			return report, nil
		}
		if silent == maxSilentReports || ctx.Err() != nil || !errors.Is(err, context.DeadlineExceeded) {
			return fleet.Report{}, err
		}
	}
}

// errServerRestarted is returned if the server has restarted after a load order and has lost the order.
var errServerRestarted = errors.New("server has restarted since the load order")

// resultLabel returns the metric label value for the result of a call.
func resultLabel(err error) string {
	if err != nil {
		return "failed"
	}
	return "done"
}
