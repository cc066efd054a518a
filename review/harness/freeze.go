//go:build review

package main

import (
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// freezeTime is how long an agent stands still, as on the sheet of the site.
const freezeTime = 4 * time.Second

// runFreeze freezes an agent when it has read the last staged piece and turns some of the pieces bad meanwhile.
func runFreeze(d *deployment, trouble bool) (broken bool, err error) {
	d.putConfiguration()
	if err := d.startModels(9); err != nil {
		return false, err
	}
	if err := d.startEntries(2); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	load, err := newClients(d, func(*answer) {})
	if err != nil {
		return false, err
	}
	m, agent := d.models[0], d.agents[0]
	var once sync.Once
	var hasFrozen atomic.Bool
	onRead := func(n int) {
		if n != chunkCount-1 {
			return
		}
		m.mu.Lock()
		matches := m.checkPieces(2) == nil
		m.mu.Unlock()
		if matches {
			once.Do(func() {
				hasFrozen.Store(true)
				go d.freeze(m, agent)
			})
		}
	}
	time.AfterFunc(2*time.Second, func() {
		if trouble {
			m.mu.Lock()
			m.onRead = onRead
			m.mu.Unlock()
		}
		d.nameVersion(2)
	})
	load.run(http.MethodPost, streamPrefix+"2f", modelDeadline, 60*time.Millisecond, 18*time.Second)
	broken = d.reportModels()
	if trouble && !hasFrozen.Load() {
		return broken, errNoTrouble
	}
	return broken, nil
}

// freeze stops an agent for freezeTime. Shortly after, 0.06 of the pieces at its server turn bad.
func (d *deployment) freeze(m *modelServer, agent *process) {
	time.Sleep(20 * time.Millisecond)
	agent.signal(syscall.SIGSTOP)
	d.record.printf("%s stands still", agent.name)
	time.Sleep(300 * time.Millisecond)
	for _, n := range []int{5, 23} {
		m.rot(n)
	}
	time.Sleep(freezeTime - 300*time.Millisecond)
	d.record.printf("%s goes on", agent.name)
	agent.signal(syscall.SIGCONT)
}
