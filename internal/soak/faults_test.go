package soak

import (
	"sync"
	"syscall"
	"time"

	"github.com/cinderslip/cinderslip/platform/standin"
)

// fault is one kind of trouble: it begins, lasts for a time and ends before it returns.
// Pick chooses what it hits.
type fault func(d *testDeployment, pick int, lasts time.Duration)

// faults are drawn from; several run at once.
var faults = []fault{
	onEntry((*process).kill), onAgent((*process).kill), onEntry((*process).roll), onAgent((*process).roll),
	onEntry((*process).freeze), onAgent((*process).freeze), onEntry((*process).reload), onAgent((*process).reload), killAllEntries,
	storeFault(standin.FaultUnavailable), storeFault(standin.FaultNoEvents), storeCompacts,
	onStoreProxy(blackhole), onStoreProxy(blackholeResponses), onStoreProxy(slow), onStoreProxy(refuse), blackholeStore, blackholeStoreConns,
	onServerProxy(blackhole), onServerProxy(blackholeResponses), onServerProxy(slow), onServerProxy(refuse), resetServer, blackholeServerConns,
	serverUnresponsive, serverFails, serverTruncates, corruptOrigin, publishWeights, publishWeights, changeConfiguration, changeConfiguration,
}

const (
	// faultInterval is how often a fault begins, in the mean, in a world of faultBaseBoxes entry boxes; in larger ones as
	// much more often. Each lasts up to maxFaultTime, so that they overlap.
	faultInterval  = 250 * time.Millisecond
	maxFaultTime   = 1500 * time.Millisecond
	faultBaseBoxes = 3
)

// injectFaults draws faults for a time and waits until all have ended.
func (d *testDeployment) injectFaults(lasts time.Duration) {
	var running sync.WaitGroup
	running.Go(func() { d.restartServers(lasts) })
	running.Go(func() { d.sendServerSignals(lasts) })
	running.Go(func() { d.varyLimits(lasts) })
	for end := time.Now().Add(lasts); time.Now().Before(end); {
		chosen := faults[d.random.IntN(len(faults))]
		pick, span := d.random.IntN(1<<16), time.Duration(d.random.Int64N(int64(maxFaultTime)))
		running.Go(func() { chosen(d, pick, span) })
		time.Sleep(time.Duration(d.random.Int64N(int64(2*faultInterval))) * faultBaseBoxes / time.Duration(max(faultBaseBoxes, *entryBoxCount)))
	}
	running.Wait()
}

// serverRestartInterval is how often a server starts again under its id, in the mean.
const serverRestartInterval = time.Second

// restartServers lets servers start again under their ids for a time. Their entries tell of the
// start before for a while, as those of servers do, or another writer has spoilt them.
func (d *testDeployment) restartServers(lasts time.Duration) {
	for end := time.Now().Add(lasts); time.Now().Before(end); {
		time.Sleep(time.Duration(d.restartRand.Int64N(int64(2 * serverRestartInterval))))
		s := d.servers[d.restartRand.IntN(len(d.servers))]
		key := "servers/" + s.id
		s.Restart(s.id)
		if spoilt := d.restartRand.IntN(2 * len(foreignEntries)); spoilt < len(foreignEntries) {
			d.store.Put(key, []byte(foreignEntries[spoilt]))
		}
		time.Sleep(time.Duration(d.restartRand.Int64N(int64(serverRestartInterval / 2))))
		d.store.Put(key, s.Entry(s.service, s.proxy.address(), "hall-a", false))
	}
}

// foreignEntries are such as other writers leave.
var foreignEntries = []string{
	`parked`, `{}`, `{"Service":"llm","Address":7}`, `{"Service":"llm","Address":"127.0.0.1:1","Zone":"hall-a","Slots":4,"State":"parked"}`,
}

func onEntry(hit func(p *process, lasts time.Duration)) fault {
	return func(d *testDeployment, pick int, lasts time.Duration) { hit(d.entries[pick%len(d.entries)], lasts) }
}

func onAgent(hit func(p *process, lasts time.Duration)) fault {
	return func(d *testDeployment, pick int, lasts time.Duration) { hit(d.agents[pick%len(d.agents)], lasts) }
}

// kill ends a process at once and starts it again later.
func (p *process) kill(lasts time.Duration) { p.restart(syscall.SIGKILL, lasts) }

// roll ends a process in a planned stop and starts it again.
func (p *process) roll(lasts time.Duration) { p.restart(syscall.SIGTERM, lasts) }

// restart ends a process and starts it after a time, unless another fault is doing so.
func (p *process) restart(signal syscall.Signal, lasts time.Duration) {
	if !p.lifecycle.TryLock() {
		return
	}
	defer p.lifecycle.Unlock()
	p.stop(signal)
	time.Sleep(lasts / 3)
	if err := p.start(); err != nil {
		p.addFinding(err.Error())
	}
}

// freeze stands a process still for a time.
func (p *process) freeze(lasts time.Duration) {
	if !p.lifecycle.TryLock() {
		return
	}
	defer p.lifecycle.Unlock()
	p.signal(syscall.SIGSTOP)
	time.Sleep(2 * lasts)
	p.signal(syscall.SIGCONT)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resumedAt = append(p.resumedAt, time.Now())
}

func (p *process) reload(time.Duration) { p.signal(syscall.SIGHUP) }

// killAllEntries kills every entry box at the same moment.
func killAllEntries(d *testDeployment, _ int, lasts time.Duration) {
	var all sync.WaitGroup
	for _, p := range d.entries {
		all.Go(func() { p.kill(lasts) })
	}
	all.Wait()
}

func storeFault(kind standin.Fault) fault {
	return func(d *testDeployment, _ int, lasts time.Duration) {
		d.store.SetFault(kind)
		time.Sleep(2 * lasts)
		d.store.SetFault(standin.FaultNone)
	}
}

func storeCompacts(d *testDeployment, _ int, _ time.Duration) { d.store.Compact() }

// The harms of a link.
func blackhole(p *proxy)          { p.blackholeUp, p.blackholeDown = true, true }
func blackholeResponses(p *proxy) { p.blackholeDown = true }
func slow(p *proxy)               { p.delay = 80 * time.Millisecond }
func refuse(p *proxy)             { p.refuse = true }

func onStoreProxy(harm func(p *proxy)) fault {
	return func(d *testDeployment, _ int, lasts time.Duration) { d.storeProxy.injectFault(harm, lasts) }
}

func onServerProxy(harm func(p *proxy)) fault {
	return func(d *testDeployment, pick int, lasts time.Duration) {
		d.servers[pick%len(d.servers)].proxy.injectFault(harm, lasts)
	}
}

// blackholeStore is an outage in which calls are lost without a word; connections stay open.
func blackholeStore(d *testDeployment, _ int, lasts time.Duration) {
	d.storeProxy.set(blackhole)
	time.Sleep(2 * lasts)
	d.storeProxy.endBlackhole()
}

// blackholeStoreConns and blackholeServerConns let open connections go silent for good, while new ones work.
func blackholeStoreConns(d *testDeployment, _ int, _ time.Duration) {
	d.storeProxy.blackholeOpenConns()
}

func blackholeServerConns(d *testDeployment, pick int, _ time.Duration) {
	d.servers[pick%len(d.servers)].proxy.blackholeOpenConns()
}

func (p *proxy) injectFault(harm func(p *proxy), lasts time.Duration) {
	p.set(harm)
	time.Sleep(lasts)
	p.clearFaults()
}

func resetServer(d *testDeployment, pick int, _ time.Duration) {
	d.servers[pick%len(d.servers)].proxy.reset()
}

func serverUnresponsive(d *testDeployment, pick int, lasts time.Duration) {
	s := d.servers[pick%len(d.servers)]
	s.SetUnresponsive(true)
	time.Sleep(lasts)
	s.SetUnresponsive(false)
}

func serverFails(d *testDeployment, pick int, lasts time.Duration) {
	s := d.servers[pick%len(d.servers)]
	s.SetErrorStatus(500)
	time.Sleep(lasts)
	s.SetErrorStatus(0)
}

func serverTruncates(d *testDeployment, pick int, lasts time.Duration) {
	s := d.servers[pick%len(d.servers)]
	s.TruncateStreamAt(1 + pick%eventCount)
	time.Sleep(lasts)
	s.TruncateStreamAt(0)
}

func corruptOrigin(d *testDeployment, pick int, _ time.Duration) { d.origin.CorruptNext(1 + pick%5) }

func publishWeights(d *testDeployment, _ int, _ time.Duration) { d.publishVersion() }

func changeConfiguration(d *testDeployment, _ int, _ time.Duration) { d.putConfig() }
