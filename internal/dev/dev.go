// Package dev runs an example system in one process on 127.0.0.1: every role, and
// stand-ins for the services of the platform.
//
// It publishes two versions of one model and one version of another, writes an
// example table, and starts two entry boxes and four agents. Each agent has an
// engine, and the last agent also has a plain service.
//
// # Usage
//
//	cluster, err := dev.Start(dev.Options{Clock: clockwork.NewRealClock(), Log: log})
//	fmt.Println(cluster.Entries())
//	err = cluster.Stop(ctx)
package dev

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/cinderslip/cinderslip/internal/daemon"
	"github.com/cinderslip/cinderslip/internal/provider"
	"github.com/cinderslip/cinderslip/internal/settings"
	"github.com/cinderslip/cinderslip/internal/standin"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/table"
)

// Names in the example table and the versions of its models.
const (
	Model        = "kakiwake"
	OtherModel   = "sokuryo"
	LocalModel   = "local"
	PlainService = "chizu"
	Group        = "kumiai"

	versionOne   = "2026.11"
	versionTwo   = "2026.12"
	otherVersion = "2026.10"
	localVersion = "v1"
)

const (
	entryBoxes = 2
	agentBoxes = 4
	loopback   = "127.0.0.1:0"

	// Sizes of weights and chunks, in bytes.
	exampleSize      = 4 << 20
	exampleChunkSize = 256 << 10
	localChunkSize   = 4 << 20
	// Transfer rates of the stand-ins for the origin and the weight store.
	originBytesPerSecond = 64 << 20
	storeBytesPerSecond  = 32 << 20
	// listLag is the delay before a change shows in the stand-in for the box list.
	listLag = 2 * time.Second

	heartbeatInterval = 250 * time.Millisecond
	silenceTimeout    = 1500 * time.Millisecond
	entriesTTL        = time.Second
	stopGrace         = 20 * time.Second
	tokenInterval     = 40 * time.Millisecond
	tokens            = 24
	slots             = 4
	// readyTimeout is how long Start waits until the entry boxes are serving.
	readyTimeout      = 4 * time.Second
	readyPollInterval = 20 * time.Millisecond
)

// Options are the options of Start.
type Options struct {
	Clock clockwork.Clock
	Log   zerolog.Logger
	// WeightsDir is a directory to publish as a version of LocalModel. Nothing is published if it is empty.
	WeightsDir string
	// Callers and Operators are the listen addresses of the first entry box. Empty addresses select free ports.
	Callers, Operators string
}

// Cluster is a running example system.
type Cluster struct {
	options  Options
	servers  []*http.Server
	entries  []*daemon.Process
	agents   []*daemon.Process
	platform settings.Platform
	kv       *standin.KeyValue
	origin   *standin.Registry
	store    *standin.Registry
	boxList  *standin.BoxList
}

// Start starts the stand-ins and the roles, and waits at most readyTimeout until every entry box is serving. It returns
// the cluster without an error if this takes longer.
func Start(options Options) (*Cluster, error) {
	c := &Cluster{options: options}
	if err := errors.Join(c.startPlatform(), c.writeTable()); err != nil {
		return nil, errors.Join(err, c.Stop(context.Background()))
	}
	if err := c.startRoles(); err != nil {
		return nil, errors.Join(err, c.Stop(context.Background()))
	}
	c.awaitLive()
	go c.publishLocal()
	return c, nil
}

// serve serves a handler on a free loopback port until Stop and returns its base URL.
func (c *Cluster) serve(handler http.Handler) (string, error) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", loopback)
	if err != nil {
		return "", fmt.Errorf("listening for stand-in: %w", err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	c.servers = append(c.servers, server)
	go func() { _ = server.Serve(listener) }()
	return "http://" + listener.Addr().String(), nil
}

func (c *Cluster) startPlatform() error {
	clock := c.options.Clock
	c.kv = standin.NewKeyValue(clock)
	c.origin = standin.NewRegistry(clock, originBytesPerSecond)
	c.store = standin.NewRegistry(clock, storeBytesPerSecond)
	c.boxList = standin.NewBoxList(clock, listLag)
	var problems [4]error
	c.platform.KeyValue, problems[0] = c.serve(c.kv)
	c.platform.Origin, problems[1] = c.serve(c.origin)
	c.platform.WeightStore, problems[2] = c.serve(c.store)
	c.platform.BoxList, problems[3] = c.serve(c.boxList)
	return errors.Join(append(problems[:], c.publishExample())...)
}

// publishExample publishes weights of random bytes with fixed seeds to the origin and to the weight store. The two
// versions of Model share half of their chunks.
func (c *Cluster) publishExample() error {
	common, first, second, other := randomContent(1), randomContent(2), randomContent(3), randomContent(4)
	versions := []struct {
		model, version string
		files          []standin.NamedFile
	}{
		{Model, versionOne, weightFiles(common, first)},
		{Model, versionTwo, weightFiles(common, second)},
		{OtherModel, otherVersion, weightFiles(other)},
	}
	for _, v := range versions {
		for _, registry := range []*standin.Registry{c.origin, c.store} {
			if _, err := registry.Publish(v.model, v.version, v.files, exampleChunkSize); err != nil {
				return err
			}
		}
	}
	return nil
}

func randomContent(seed byte) []byte {
	data := make([]byte, exampleSize/2)
	_, _ = rand.NewChaCha8([32]byte{seed}).Read(data)
	return data
}

func weightFiles(contents ...[]byte) []standin.NamedFile {
	var files []standin.NamedFile
	for i, data := range contents {
		files = append(files, standin.NamedFile{Name: fmt.Sprintf("model-%d.safetensors", i), Content: data})
	}
	return files
}

// writeTable writes the example table as the first edit.
func (c *Cluster) writeTable() error {
	rows := []table.Row{
		{Group: Group, Model: Model, Weight: 2, Floor: 0.25, Ceiling: 1, Version: versionOne},
		{Group: "nouka", Model: Model, Weight: 1, Floor: 0.25, Ceiling: 0.75, Version: versionOne},
		{Group: Group, Model: OtherModel, Weight: 1, Ceiling: 1, Version: otherVersion},
	}
	return c.applyEdit(table.Edit{ID: "example", Author: "dev", Reason: "example table", Changes: table.Diff(nil, rows)})
}

// applyEdit applies an edit to the table in the key-value service, without an entry box, and retries if the table was
// changed at the same time.
func (c *Cluster) applyEdit(edit table.Edit) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	kv := provider.NewKeyValue(c.platform.KeyValue, http.DefaultClient)
	for {
		stored, err := kv.Get(ctx, daemon.TableKey)
		if err != nil {
			return fmt.Errorf("reading table: %w", err)
		}
		current := &table.Table{}
		if stored.Revision != 0 {
			if err := json.Unmarshal(stored.Value, current); err != nil {
				return fmt.Errorf("decoding table: %w", err)
			}
		}
		edit.Base = current.Revision
		next, err := current.Apply(edit, c.options.Clock.Now())
		if err != nil {
			return fmt.Errorf("editing table: %w", err)
		}
		var value bytes.Buffer
		if err := json.NewEncoder(&value).Encode(next); err != nil {
			return fmt.Errorf("encoding table: %w", err)
		}
		_, swapped, err := kv.CompareAndSwap(ctx, daemon.TableKey, value.Bytes(), stored.Revision, 0)
		if err != nil || swapped {
			return err
		}
	}
}

func (c *Cluster) startRoles() error {
	for i := range entryBoxes {
		if err := c.startEntry(i); err != nil {
			return err
		}
	}
	for i := range agentBoxes {
		if err := c.startAgent(i); err != nil {
			return err
		}
	}
	return nil
}

// baseSettings returns the settings that all roles of the example have in common.
func (c *Cluster) baseSettings(box, domain string) *settings.Settings {
	s := &settings.Settings{Box: box, Organisation: "example", Region: "kita", FailureDomain: domain, Platform: c.platform}
	s.Listen.Peers, s.Listen.Operators = loopback, loopback
	s.Peers.Heartbeat, s.Peers.SilenceTimeout = settings.Duration(heartbeatInterval), settings.Duration(silenceTimeout)
	for _, entry := range c.entries {
		s.Peers.Entries = append(s.Peers.Entries, entry.PeersAddress())
	}
	s.Stop.Grace = settings.Duration(stopGrace)
	s.Requests.EntriesTTL = settings.Duration(entriesTTL)
	s.Weights.OriginFetchWait = settings.Duration(500 * time.Millisecond)
	s.Default()
	return s
}

func failureDomain(i int) string { return "kita-" + string(rune('a'+i%2)) }

func (c *Cluster) startEntry(i int) error {
	s := c.baseSettings(fmt.Sprintf("entry-%d", i+1), failureDomain(i))
	s.Role = settings.RoleEntry
	s.Listen.Callers = loopback
	if i == 0 && c.options.Callers != "" {
		s.Listen.Callers = c.options.Callers
	}
	if i == 0 && c.options.Operators != "" {
		s.Listen.Operators = c.options.Operators
	}
	process, err := c.startProcess(s, member.RoleEntry)
	if err == nil {
		c.entries = append(c.entries, process)
	}
	return err
}

func (c *Cluster) startAgent(i int) error {
	s := c.baseSettings(fmt.Sprintf("agent-%d", i+1), failureDomain(i))
	s.Role = settings.RoleAgent
	s.Agent.Engine.Models = []string{Model, OtherModel, LocalModel}
	s.Agent.Engine.Slots = slots
	var err error
	s.Agent.Engine.URL, err = c.serve(standin.NewEngine(c.options.Clock, standin.EngineOptions{
		Slots: slots, LoadTime: 100 * time.Millisecond, TokenInterval: tokenInterval, Tokens: tokens,
	}))
	if err != nil {
		return err
	}
	if i == agentBoxes-1 {
		url, err := c.serve(standin.NewPlainService(c.options.Clock))
		if err != nil {
			return err
		}
		s.Agent.Services = []settings.Service{{Name: PlainService, URL: url}}
	}
	process, err := c.startProcess(s, member.RoleAgent)
	if err == nil {
		c.agents = append(c.agents, process)
	}
	return err
}

func (c *Cluster) startProcess(s *settings.Settings, role member.Role) (*daemon.Process, error) {
	log := c.options.Log.With().Str("box", s.Box).Logger()
	process, err := daemon.Start(s, daemon.Options{Clock: c.options.Clock, Log: log})
	if err != nil {
		return nil, fmt.Errorf("starting %s: %w", s.Box, err)
	}
	c.boxList.Set(provider.ListedBox{
		Box: member.BoxID(s.Box), Role: role, Region: member.Region(s.Region),
		FailureDomain: member.FailureDomain(s.FailureDomain),
		PeerAddress:   member.Address(process.PeersAddress()), State: provider.ListedLive,
	})
	return process, nil
}

// awaitLive waits until every entry box is serving, at most readyTimeout.
func (c *Cluster) awaitLive() {
	deadline := c.options.Clock.Now().Add(readyTimeout)
	for _, entry := range c.entries {
		for !entry.IsServing() && c.options.Clock.Now().Before(deadline) {
			c.options.Clock.Sleep(readyPollInterval)
		}
	}
}

// publishLocal publishes Options.WeightsDir as a version of LocalModel and adds a row for it to the table.
func (c *Cluster) publishLocal() {
	if c.options.WeightsDir == "" {
		return
	}
	for _, registry := range []*standin.Registry{c.origin, c.store} {
		if _, err := registry.PublishDir(LocalModel, localVersion, c.options.WeightsDir, localChunkSize); err != nil {
			c.options.Log.Error().Err(err).Msg("publishing the weights directory failed; its model is not available")
			return
		}
	}
	row := table.Row{Group: Group, Model: LocalModel, Weight: 1, Ceiling: 1, Version: localVersion}
	err := c.applyEdit(table.Edit{ID: "local", Author: "dev", Reason: "--dev-weights", Changes: table.Diff(nil, []table.Row{row})})
	if err != nil {
		c.options.Log.Error().Err(err).Msg("adding a table row for the weights directory failed; its model is not served")
	}
}

// Entries returns the addresses of the entry boxes for callers.
func (c *Cluster) Entries() []string {
	addresses := make([]string, 0, len(c.entries))
	for _, entry := range c.entries {
		addresses = append(addresses, entry.CallersAddress())
	}
	return addresses
}

// Operators returns the addresses of the entry boxes for operators.
func (c *Cluster) Operators() []string {
	addresses := make([]string, 0, len(c.entries))
	for _, entry := range c.entries {
		addresses = append(addresses, entry.OperatorsAddress())
	}
	return addresses
}

// Curl returns a curl command that sends a streaming request to the first entry box.
func (c *Cluster) Curl() string {
	return fmt.Sprintf("curl -sN -H 'Cinderslip-Group: %s' -H 'Content-Type: application/json' "+
		`-d '{"model":"%s","stream":true,"messages":[{"role":"user","content":"Draft the boundary of parcel 12."}]}' `+
		"http://%s/v1/services/%s/v1/chat/completions", Group, Model, c.Entries()[0], Model)
}

// Stop drains and stops the entry boxes, then the agents, and then closes the stand-ins. The error joins the errors of
// all processes.
func (c *Cluster) Stop(ctx context.Context) error {
	problems := stopAll(ctx, c.entries)
	problems = append(problems, stopAll(ctx, c.agents)...)
	for _, server := range c.servers {
		_ = server.Close()
	}
	return errors.Join(problems...)
}

func stopAll(ctx context.Context, processes []*daemon.Process) []error {
	results := make(chan error, len(processes))
	for _, process := range processes {
		go func() { results <- process.Stop(ctx) }()
	}
	var problems []error
	for range processes {
		problems = append(problems, <-results)
	}
	return problems
}
