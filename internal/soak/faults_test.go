package soak

import (
	"sync"
	"syscall"
	"time"

	"github.com/cinderslip/cinderslip/platform/standin"
)

// fault is one kind of trouble: it begins, lasts for a time and ends before it returns.
// Pick chooses what it hits.
type fault func(w *world, pick int, lasts time.Duration)

// faults are drawn from; several run at once.
var faults = []fault{
	onEntry((*process).kill), onAgent((*process).kill), onEntry((*process).roll), onAgent((*process).roll),
	onEntry((*process).freeze), onAgent((*process).freeze), onEntry((*process).reload), onAgent((*process).reload), killAllEntries,
	storeFault(standin.FaultUnavailable), storeFault(standin.FaultNoEvents), storeCompacts,
	onStoreLink(silence), onStoreLink(silenceAnswers), onStoreLink(slow), onStoreLink(refuse), storeSwallows, storeMute,
	onServerLink(silence), onServerLink(silenceAnswers), onServerLink(slow), onServerLink(refuse), resetServer, serverLinkMute,
	serverMute, serverFails, serverCuts, spoilOrigin, nameWeights, nameWeights, changeConfiguration, changeConfiguration,
}

const (
	// faultEvery is how often a fault begins, in the mean, in a world of faultBoxes entry boxes; in larger ones as
	// much more often. Each lasts up to faultLongest, so that they overlap.
	faultEvery   = 250 * time.Millisecond
	faultLongest = 1500 * time.Millisecond
	faultBoxes   = 3
)

// injectFaults draws faults for a time and waits until all have ended.
func (w *world) injectFaults(lasts time.Duration) {
	var running sync.WaitGroup
	running.Go(func() { w.startServersAgain(lasts) })
	running.Go(func() { w.letServersSpeak(lasts) })
	running.Go(func() { w.varyLimits(lasts) })
	for end := time.Now().Add(lasts); time.Now().Before(end); {
		chosen := faults[w.random.IntN(len(faults))]
		pick, span := w.random.IntN(1<<16), time.Duration(w.random.Int64N(int64(faultLongest)))
		running.Go(func() { chosen(w, pick, span) })
		time.Sleep(time.Duration(w.random.Int64N(int64(2*faultEvery))) * faultBoxes / time.Duration(max(faultBoxes, *entryBoxes)))
	}
	running.Wait()
}

// startEvery is how often a server starts again under its id, in the mean.
const startEvery = time.Second

// startServersAgain lets servers start again under their ids for a time. Their entries tell of the
// start before for a while, as those of servers do, or another writer has spoilt them.
func (w *world) startServersAgain(lasts time.Duration) {
	for end := time.Now().Add(lasts); time.Now().Before(end); {
		time.Sleep(time.Duration(w.starts.Int64N(int64(2 * startEvery))))
		s := w.servers[w.starts.IntN(len(w.servers))]
		key := "servers/" + s.id
		s.Restart(s.id)
		if spoilt := w.starts.IntN(2 * len(foreignEntries)); spoilt < len(foreignEntries) {
			w.store.Put(key, []byte(foreignEntries[spoilt]))
		}
		time.Sleep(time.Duration(w.starts.Int64N(int64(startEvery / 2))))
		w.store.Put(key, s.Entry(s.service, s.link.address(), "hall-a", false))
	}
}

// foreignEntries are such as other writers leave.
var foreignEntries = []string{
	`parked`, `{}`, `{"Service":"llm","Address":7}`, `{"Service":"llm","Address":"127.0.0.1:1","Zone":"hall-a","Slots":4,"State":"parked"}`,
}

func onEntry(hit func(p *process, lasts time.Duration)) fault {
	return func(w *world, pick int, lasts time.Duration) { hit(w.entries[pick%len(w.entries)], lasts) }
}

func onAgent(hit func(p *process, lasts time.Duration)) fault {
	return func(w *world, pick int, lasts time.Duration) { hit(w.agents[pick%len(w.agents)], lasts) }
}

// kill ends a process at once and starts it again later.
func (p *process) kill(lasts time.Duration) { p.again(syscall.SIGKILL, lasts) }

// roll ends a process in a planned stop and starts it again.
func (p *process) roll(lasts time.Duration) { p.again(syscall.SIGTERM, lasts) }

// again ends a process and starts it after a time, unless another fault is doing so.
func (p *process) again(signal syscall.Signal, lasts time.Duration) {
	if !p.busy.TryLock() {
		return
	}
	defer p.busy.Unlock()
	p.stop(signal)
	time.Sleep(lasts / 3)
	if err := p.start(); err != nil {
		p.report(err.Error())
	}
}

// freeze stands a process still for a time.
func (p *process) freeze(lasts time.Duration) {
	if !p.busy.TryLock() {
		return
	}
	defer p.busy.Unlock()
	p.signal(syscall.SIGSTOP)
	time.Sleep(2 * lasts)
	p.signal(syscall.SIGCONT)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wakes = append(p.wakes, time.Now())
}

func (p *process) reload(time.Duration) { p.signal(syscall.SIGHUP) }

// killAllEntries kills every entry box at the same moment.
func killAllEntries(w *world, _ int, lasts time.Duration) {
	var all sync.WaitGroup
	for _, p := range w.entries {
		all.Go(func() { p.kill(lasts) })
	}
	all.Wait()
}

func storeFault(kind standin.Fault) fault {
	return func(w *world, _ int, lasts time.Duration) {
		w.store.SetFault(kind)
		time.Sleep(2 * lasts)
		w.store.SetFault(standin.FaultNone)
	}
}

func storeCompacts(w *world, _ int, _ time.Duration) { w.store.Compact() }

// The harms of a link.
func silence(p *proxy)        { p.silentUp, p.silentDown = true, true }
func silenceAnswers(p *proxy) { p.silentDown = true }
func slow(p *proxy)           { p.delay = 80 * time.Millisecond }
func refuse(p *proxy)         { p.refuse = true }

func onStoreLink(harm func(p *proxy)) fault {
	return func(w *world, _ int, lasts time.Duration) { w.storeLink.harm(harm, lasts) }
}

func onServerLink(harm func(p *proxy)) fault {
	return func(w *world, pick int, lasts time.Duration) { w.servers[pick%len(w.servers)].link.harm(harm, lasts) }
}

// storeSwallows is an outage in which calls are lost without a word; connections stay open.
func storeSwallows(w *world, _ int, lasts time.Duration) {
	w.storeLink.set(silence)
	time.Sleep(2 * lasts)
	w.storeLink.swallow()
}

// storeMute and serverLinkMute let open connections go silent for good, while new ones work.
func storeMute(w *world, _ int, _ time.Duration) { w.storeLink.muteOpen() }

func serverLinkMute(w *world, pick int, _ time.Duration) {
	w.servers[pick%len(w.servers)].link.muteOpen()
}

func (p *proxy) harm(harm func(p *proxy), lasts time.Duration) {
	p.set(harm)
	time.Sleep(lasts)
	p.heal()
}

func resetServer(w *world, pick int, _ time.Duration) { w.servers[pick%len(w.servers)].link.reset() }

func serverMute(w *world, pick int, lasts time.Duration) {
	s := w.servers[pick%len(w.servers)]
	s.SetUnresponsive(true)
	time.Sleep(lasts)
	s.SetUnresponsive(false)
}

func serverFails(w *world, pick int, lasts time.Duration) {
	s := w.servers[pick%len(w.servers)]
	s.SetErrorStatus(500)
	time.Sleep(lasts)
	s.SetErrorStatus(0)
}

func serverCuts(w *world, pick int, lasts time.Duration) {
	s := w.servers[pick%len(w.servers)]
	s.TruncateStreamAt(1 + pick%events)
	time.Sleep(lasts)
	s.TruncateStreamAt(0)
}

func spoilOrigin(w *world, pick int, _ time.Duration) { w.origin.CorruptNext(1 + pick%5) }

func nameWeights(w *world, _ int, _ time.Duration) { w.nameVersion() }

func changeConfiguration(w *world, _ int, _ time.Duration) { w.putConfig() }
