package soak

import (
	"sync"
	"syscall"
	"time"

	"github.com/cinderslip/cinderslip/platform/standin"
)

// fault injects one kind of fault and ends it before it returns. A fault that lasts for a time takes it from duration.
// The argument pick selects the target.
type fault func(d *testDeployment, pick int, duration time.Duration)

// faults are the kinds of faults from which injectFaults chooses. Several can run at the same time.
var faults = []fault{
	onEntry((*process).kill), onAgent((*process).kill), onEntry((*process).roll), onAgent((*process).roll),
	onEntry((*process).freeze), onAgent((*process).freeze), onEntry((*process).reload), onAgent((*process).reload), killAllEntries,
	storeFault(standin.FaultUnavailable), storeFault(standin.FaultNoEvents), storeCompacts,
	onStoreProxy(blackhole), onStoreProxy(blackholeResponses), onStoreProxy(slow), onStoreProxy(refuse), blackholeStore, blackholeStoreConns,
	onServerProxy(blackhole), onServerProxy(blackholeResponses), onServerProxy(slow), onServerProxy(refuse), resetServer, blackholeServerConns,
	serverUnresponsive, serverFails, serverTruncates, corruptOrigin, publishWeights, publishWeights, changeConfiguration, changeConfiguration,
}

const (
	// faultInterval is the mean time between two faults in a deployment with faultBaseBoxes entry boxes. It is
	// proportionally shorter in larger deployments. Durations are drawn up to maxFaultTime, so that faults overlap.
	faultInterval  = 250 * time.Millisecond
	maxFaultTime   = 1500 * time.Millisecond
	faultBaseBoxes = 3
)

// injectFaults injects random faults for a time and waits until all of them have ended.
func (d *testDeployment) injectFaults(duration time.Duration) {
	var running sync.WaitGroup
	running.Go(func() { d.restartServers(duration) })
	running.Go(func() { d.sendServerSignals(duration) })
	running.Go(func() { d.varyLimits(duration) })
	running.Go(func() { d.removeServers(duration) })
	running.Go(func() { d.silenceServers(duration) })
	running.Go(func() { d.restoreStore(duration) })
	running.Go(func() { d.sendWithoutEnd(duration) })
	running.Go(func() { d.interruptOrigin(duration) })
	running.Go(func() { d.spoilAnswers(duration) })
	for end := time.Now().Add(duration); time.Now().Before(end); {
		inject := faults[d.random.IntN(len(faults))]
		pick, span := d.random.IntN(1<<16), time.Duration(d.random.Int64N(int64(maxFaultTime)))
		running.Go(func() { inject(d, pick, span) })
		time.Sleep(time.Duration(d.random.Int64N(int64(2*faultInterval))) * faultBaseBoxes / time.Duration(max(faultBaseBoxes, *entryBoxCount)))
	}
	running.Wait()
}

// serverRestartInterval is the mean delay before each server restart.
const serverRestartInterval = time.Second

// restartServers restarts randomly chosen servers with the same ids for a time. For a while after a restart, the store
// entry still describes the previous incarnation, as with real servers, or holds data of another writer.
func (d *testDeployment) restartServers(duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		time.Sleep(time.Duration(d.restartRand.Int64N(int64(2 * serverRestartInterval))))
		s := d.servers[d.restartRand.IntN(len(d.servers))]
		key := "servers/" + s.id
		s.Restart(s.id)
		if index := d.restartRand.IntN(2 * len(foreignEntries)); index < len(foreignEntries) {
			d.store.Put(key, []byte(foreignEntries[index]))
		}
		time.Sleep(time.Duration(d.restartRand.Int64N(int64(serverRestartInterval / 2))))
		d.store.Put(key, s.Entry(s.service, s.proxy.address(), "hall-a", false))
	}
}

// foreignEntries are invalid or foreign server entries that other writers leave in the store.
var foreignEntries = []string{
	`parked`, `{}`, `{"Service":"llm","Address":7}`, `{"Service":"llm","Address":"127.0.0.1:1","Zone":"hall-a","Slots":4,"State":"parked"}`,
}

func onEntry(inject func(p *process, duration time.Duration)) fault {
	return func(d *testDeployment, pick int, duration time.Duration) {
		inject(d.entries[pick%len(d.entries)], duration)
	}
}

func onAgent(inject func(p *process, duration time.Duration)) fault {
	return func(d *testDeployment, pick int, duration time.Duration) {
		inject(d.agents[pick%len(d.agents)], duration)
	}
}

// kill kills a process and restarts it later.
func (p *process) kill(duration time.Duration) { p.restart(syscall.SIGKILL, duration) }

// roll stops a process with SIGTERM, as in a rolling update, and restarts it.
func (p *process) roll(duration time.Duration) { p.restart(syscall.SIGTERM, duration) }

// restart stops a process and starts it after a delay, unless another fault holds its lifecycle lock.
func (p *process) restart(signal syscall.Signal, duration time.Duration) {
	if !p.lifecycle.TryLock() {
		return
	}
	defer p.lifecycle.Unlock()
	p.stop(signal)
	time.Sleep(duration / 3)
	if err := p.start(); err != nil {
		p.addFinding(err.Error())
	}
}

// freeze pauses a process with SIGSTOP for a time.
func (p *process) freeze(duration time.Duration) {
	if !p.lifecycle.TryLock() {
		return
	}
	defer p.lifecycle.Unlock()
	p.signal(syscall.SIGSTOP)
	time.Sleep(2 * duration)
	p.signal(syscall.SIGCONT)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resumedAt = append(p.resumedAt, time.Now())
}

func (p *process) reload(time.Duration) { p.signal(syscall.SIGHUP) }

// killAllEntries kills all entry boxes at the same time.
func killAllEntries(d *testDeployment, _ int, duration time.Duration) {
	var wg sync.WaitGroup
	for _, p := range d.entries {
		wg.Go(func() { p.kill(duration) })
	}
	wg.Wait()
}

func storeFault(kind standin.Fault) fault {
	return func(d *testDeployment, _ int, duration time.Duration) {
		d.store.SetFault(kind)
		time.Sleep(2 * duration)
		d.store.SetFault(standin.FaultNone)
	}
}

func storeCompacts(d *testDeployment, _ int, _ time.Duration) { d.store.Compact() }

// Network faults of a proxy, applied with its lock held.
func blackhole(p *proxy)          { p.blackholeUp, p.blackholeDown = true, true }
func blackholeResponses(p *proxy) { p.blackholeDown = true }
func slow(p *proxy)               { p.delay = 80 * time.Millisecond }
func refuse(p *proxy)             { p.refuse = true }

func onStoreProxy(inject func(p *proxy)) fault {
	return func(d *testDeployment, _ int, duration time.Duration) { d.storeProxy.injectFault(inject, duration) }
}

func onServerProxy(inject func(p *proxy)) fault {
	return func(d *testDeployment, pick int, duration time.Duration) {
		d.servers[pick%len(d.servers)].proxy.injectFault(inject, duration)
	}
}

// blackholeStore drops the traffic of all store connections for a time. The connections stay open, but calls on them
// never get a response.
func blackholeStore(d *testDeployment, _ int, duration time.Duration) {
	d.storeProxy.set(blackhole)
	time.Sleep(2 * duration)
	d.storeProxy.endBlackhole()
}

// blackholeStoreConns and blackholeServerConns drop all further data of open connections, while new connections work.
func blackholeStoreConns(d *testDeployment, _ int, _ time.Duration) {
	d.storeProxy.blackholeOpenConns()
}

func blackholeServerConns(d *testDeployment, pick int, _ time.Duration) {
	d.servers[pick%len(d.servers)].proxy.blackholeOpenConns()
}

func (p *proxy) injectFault(inject func(p *proxy), duration time.Duration) {
	from := time.Now()
	p.set(inject)
	time.Sleep(duration)
	p.set(func(p *proxy) {
		if p.blackholeUp || p.blackholeDown {
			p.disturbances = append(p.disturbances, timeSpan{from, time.Now()})
		}
	})
	p.clearFaults()
}

func resetServer(d *testDeployment, pick int, _ time.Duration) {
	d.servers[pick%len(d.servers)].proxy.reset()
}

func serverUnresponsive(d *testDeployment, pick int, duration time.Duration) {
	s := d.servers[pick%len(d.servers)]
	defer s.disturbSince(time.Now())
	s.SetUnresponsive(true)
	time.Sleep(duration)
	s.SetUnresponsive(false)
}

func serverFails(d *testDeployment, pick int, duration time.Duration) {
	s := d.servers[pick%len(d.servers)]
	defer s.disturbSince(time.Now())
	s.SetErrorStatus(500)
	time.Sleep(duration)
	s.SetErrorStatus(0)
}

func serverTruncates(d *testDeployment, pick int, duration time.Duration) {
	s := d.servers[pick%len(d.servers)]
	defer s.disturbSince(time.Now())
	s.TruncateStreamAt(1 + pick%eventCount)
	time.Sleep(duration)
	s.TruncateStreamAt(0)
}

func corruptOrigin(d *testDeployment, pick int, _ time.Duration) { d.origin.CorruptNext(1 + pick%5) }

func publishWeights(d *testDeployment, _ int, _ time.Duration) { d.publishVersion() }

func changeConfiguration(d *testDeployment, _ int, _ time.Duration) { d.putConfig() }
