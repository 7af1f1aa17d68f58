package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// labels are those of ordinary executors: kind and rack.
func labels(num int) []string { return []string{"std", fmt.Sprintf("r1-%d", num/4)} }

// setUp starts executors and processes and writes the configuration.
func (lab *lab) setUp(executors, nodes int) error {
	for num := range executors {
		if _, err := lab.addExecutor(service, labels(num)); err != nil {
			return err
		}
	}
	lab.configure(1)
	for range nodes {
		if _, err := lab.addNode(); err != nil {
			return err
		}
	}
	if err := lab.awaitReady(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	if lab.leader() == nil {
		return fmt.Errorf("no process has taken the duty")
	}
	return nil
}

// smallJobs submits jobs of one short task each, so that there are other orders.
func (lab *lab) smallJobs(first, count int, pause time.Duration) {
	for num := range count {
		lab.submit(lab.nodes[num%len(lab.nodes)], &job{ID: jobID(first + num), Spec: "small", Steps: []step{{Count: 1, CPU: 500, Mem: 256, Estimate: 300}}})
		time.Sleep(pause)
	}
}

// checkOverlaps finds tasks of which two runs were active at the same time.
func (lab *lab) checkOverlaps() {
	lab.mu.Lock()
	defer lab.mu.Unlock()
	now := time.Now()
	for i, one := range lab.runs {
		for _, oth := range lab.runs[i+1:] {
			if one.task != oth.task {
				continue
			}
			end := one.to
			if end.IsZero() {
				end = now
			}
			othEnd := oth.to
			if othEnd.IsZero() {
				othEnd = now
			}
			if end.Before(othEnd) {
				othEnd = end
			}
			if both := othEnd.Sub(oth.from); both > 0 {
				lab.breach("%s ran on %s (run %d, token %d) and on %s (run %d, token %d) at the same time, for %v", one.task, one.vm, one.run, one.token, oth.vm, oth.run, oth.token, both.Round(time.Millisecond))
			}
		}
	}
}

// Times of the case twice.
const (
	lateBy       = 6 * time.Second
	cutAfter     = time.Second
	cutFor       = 5500 * time.Millisecond
	crashAfter   = 2 * time.Second
	rebootAfter  = 3 * time.Second
	victimLength = 10000
)

// twice has an order that is carried out late, a hand-over and an executor that is cut
// off and starts again behind the cut.
func (lab *lab) twice() error {
	if err := lab.setUp(7, 3); err != nil {
		return err
	}
	victim := &job{ID: jobID(1), Spec: "victim", Steps: []step{{Count: 1, CPU: 500, Mem: 256, Estimate: victimLength}}}
	sent := make(chan *executor, 1)
	if lab.trouble {
		lab.mu.Lock()
		isSent := false
		lab.late = func(exe *executor, path string, ord order) time.Duration {
			if path != "/run-start" || jobOf(ord.Task) != victim.ID || isSent {
				return 0
			}
			isSent, lab.lateAt = true, time.Now()
			sent <- exe
			return lateBy
		}
		lab.mu.Unlock()
	}
	go lab.smallJobs(100, 60, 100*time.Millisecond)
	time.Sleep(2500 * time.Millisecond)
	if status := lab.submit(lab.nodes[0], victim); status != 200 {
		return fmt.Errorf("the job was answered with %d", status)
	}
	if lab.trouble {
		lab.cutAndHandOver(<-sent)
	}
	time.Sleep(14 * time.Second)
	_, _ = lab.state(lab.nodes[0], victim.ID)
	lab.checkOverlaps()
	if lab.trouble {
		return lab.checkLateShare()
	}
	return nil
}

// Limits of orders that are carried out late.
const (
	maxLateShare = 0.06
	lateWindow   = 5500 * time.Millisecond
)

// checkLateShare fails if the late order is a larger share of the starts in the time before
// it than the pages allow.
func (lab *lab) checkLateShare() error {
	lab.mu.Lock()
	defer lab.mu.Unlock()
	count := 1
	for _, see := range lab.runs {
		if see.from.After(lab.lateAt.Add(-lateWindow)) && see.from.Before(lab.lateAt) {
			count++
		}
	}
	lab.note("1 of %d starts of %v is late", count, lateWindow)
	if 1 > maxLateShare*float64(count) {
		return fmt.Errorf("1 late start of %d is more than the pages allow", count)
	}
	return nil
}

func (lab *lab) cutAndHandOver(exe *executor) {
	at := time.Now()
	sleepUntil := func(after time.Duration) { time.Sleep(time.Until(at.Add(after))) }
	sleepUntil(cutAfter)
	lab.mu.Lock()
	exe.cut = true
	lab.note("executor %s is cut off from all machines of the system", exe.id)
	lab.mu.Unlock()
	go func() {
		sleepUntil(crashAfter)
		lab.mu.Lock()
		exe.crash()
		lab.mu.Unlock()
		sleepUntil(rebootAfter)
		lab.mu.Lock()
		exe.boot(exe.id, time.Now())
		lab.mu.Unlock()
		sleepUntil(cutAfter + cutFor)
		lab.mu.Lock()
		exe.cut = false
		lab.note("executor %s is reached again", exe.id)
		lab.mu.Unlock()
	}()
	lab.rollLeader()
}

// rollLeader stops the process that holds the duty gracefully and starts it again.
func (lab *lab) rollLeader() {
	nod := lab.leader()
	lab.signal(nod, syscall.SIGTERM)
	select {
	case <-nod.done:
	case <-time.After(6 * time.Second):
		lab.signal(nod, syscall.SIGKILL)
		<-nod.done
	}
	if err := lab.startNode(nod); err != nil {
		lab.note("process %s doesn't start: %v", nod.name, err)
	}
}

// Times of the case cancel.
const (
	startDelay    = 25 * time.Second
	lossFor       = 4500 * time.Millisecond
	lossShare     = 0.33
	maxLossShare  = 0.35
	cancelBound   = 3 * time.Second
	jobsInTrouble = 200
)

// cancelUnanswered has a store that loses the answers of some writes and carries them out
// late. A client whose submission is answered with 504 cancels the job.
func (lab *lab) cancelUnanswered() error {
	if err := lab.setUp(7, 3); err != nil {
		return err
	}
	if lab.trouble {
		lab.loseWrites()
	}
	due := time.Now().Add(startDelay)
	cancels := map[string]time.Time{}
	var mu sync.Mutex
	var clients sync.WaitGroup
	for num := range jobsInTrouble {
		clients.Go(func() {
			jb := &job{ID: jobID(num), Spec: "timed", Repeat: 1, Interval: 1000, StartAt: due.UnixMilli(), Steps: []step{{Count: 1, CPU: 100, Mem: 64, Estimate: 500}}}
			if !lab.submitAndCancel(num, jb) {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			cancels[jb.ID] = time.Now()
		})
		time.Sleep(20 * time.Millisecond)
	}
	clients.Wait()
	lab.store.mu.Lock()
	lost, writes := lab.store.lost, lab.store.writes
	lab.store.mu.Unlock()
	lab.note("%d of %d writes of the time of the loss got no answer", lost, writes)
	if float64(lost) > maxLossShare*float64(writes) {
		return fmt.Errorf("%d of %d lost writes are more than the pages allow", lost, writes)
	}
	time.Sleep(time.Until(due.Add(6 * time.Second)))
	lab.note("%d cancels were acknowledged", len(cancels))
	lab.checkCancelled(cancels)
	return nil
}

// loseWrites begins the loss of answers. At no time have more of the writes since then been
// lost than the pages allow.
func (lab *lab) loseWrites() {
	dic := newDice(11)
	end := time.Now().Add(lossFor)
	lab.store.mu.Lock()
	defer lab.store.mu.Unlock()
	lab.store.writes, lab.store.lost = 0, 0
	lab.store.decide = func(txn) fate {
		if time.Now().After(end) {
			// The writes from now on don't count.
			lab.store.writes--
			return fate{}
		}
		if dic.float() >= lossShare || float64(lab.store.lost+1) > maxLossShare*float64(lab.store.writes) {
			return fate{}
		}
		return fate{unanswered: true, delay: time.Duration((1 + 5*dic.float()) * float64(time.Second))}
	}
	lab.note("for %v, %v of the writes get no answer and are carried out 1 to 6 s later", lossFor, lossShare)
}

// cancelledShare is the part of the accepted jobs that are cancelled: one in so many.
const cancelledShare = 20

// submitAndCancel submits a job and cancels it if the answer was a 504. Some of the
// accepted jobs are cancelled as well. It reports whether a cancel was acknowledged.
func (lab *lab) submitAndCancel(num int, jb *job) bool {
	status := lab.submit(lab.nodes[num%len(lab.nodes)], jb)
	if status != http.StatusGatewayTimeout && (status != http.StatusOK || num%cancelledShare != 0) {
		return false
	}
	for try := range 20 {
		status, _ := lab.call(lab.nodes[(num+1+try)%len(lab.nodes)], http.MethodDelete, jb.ID, nil)
		if status/100 == 2 || status == http.StatusGone {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// checkCancelled finds starts of jobs whose cancelling was acknowledged before.
func (lab *lab) checkCancelled(cancels map[string]time.Time) {
	lab.mu.Lock()
	defer lab.mu.Unlock()
	for _, see := range lab.runs {
		at, ok := cancels[jobOf(see.task)]
		if after := see.from.Sub(at); ok && after > cancelBound {
			lab.breach("%s starts on %s %v after the cancelling of its job was acknowledged", see.task, see.vm, after.Round(time.Millisecond))
		}
	}
}

// Times of the case crash: how long the executor is up before each crash, and down after.
const (
	crashLoops = 4
	upFor      = 400 * time.Millisecond
	downFor    = time.Second
)

// crashLoop has an executor that crashes several times soon after it has started. A sound
// task needs its label.
func (lab *lab) crashLoop() error {
	if err := lab.setUp(7, 3); err != nil {
		return err
	}
	exe, err := lab.addExecutor(service, []string{"large", "r1-1"})
	if err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	jb := &job{ID: jobID(1), Spec: "sound", Steps: []step{{Count: 1, CPU: 500, Mem: 256, Estimate: 3000, Label: "large"}}}
	if status := lab.submit(lab.nodes[0], jb); status != 200 {
		return fmt.Errorf("the job was answered with %d", status)
	}
	time.Sleep(time.Second)
	for loop := range crashLoops {
		if !lab.trouble {
			break
		}
		lab.mu.Lock()
		exe.crash()
		lab.mu.Unlock()
		time.Sleep(downFor)
		lab.mu.Lock()
		exe.boot(fmt.Sprintf("i-9%03d", loop), time.Now())
		lab.mu.Unlock()
		if loop < crashLoops-1 {
			time.Sleep(upFor)
		}
	}
	for end := time.Now().Add(12 * time.Second); time.Now().Before(end); time.Sleep(time.Second) {
		if _, state := lab.state(lab.nodes[1], jb.ID); state == "failed" || state == "cancelled" {
			failed := 0
			lab.mu.Lock()
			for _, see := range lab.runs {
				if jobOf(see.task) == jb.ID && see.how == "failed" {
					failed++
				}
			}
			lab.mu.Unlock()
			lab.breach("job %s is shown as %s, and %d runs of its task have ended as failed", jb.ID, state, failed)
			break
		}
	}
	return nil
}

// foreignEntry has another writer write an entry under the id of an executor that is at
// work. It names a service that the configuration doesn't, and the executor writes its own
// entry again with its next heartbeat.
func (lab *lab) foreignEntry() error {
	if err := lab.setUp(7, 3); err != nil {
		return err
	}
	worked := &job{ID: jobID(1), Spec: "worked", Steps: []step{{Count: 3, CPU: 500, Mem: 256, Estimate: 8000, MaxPerServer: 1}}}
	if status := lab.submit(lab.nodes[0], worked); status != http.StatusOK {
		return fmt.Errorf("the job was answered with %d", status)
	}
	time.Sleep(time.Second)
	if lab.trouble {
		lab.mu.Lock()
		exe := lab.executors[0]
		lab.store.write("servers/"+exe.id, map[string]any{
			"service": "unnamed", "address": "127.0.0.1:9", "zone": exe.zone, "version": "v1", "slots": 8, "state": "ready",
			"cold-remaining-ms": 0, "sequence": 1, "born": exe.born.UnixMilli(), "capacity": size{CPU: capacityCPU, Mem: capacityMem}, "labels": exe.labels,
		})
		lab.note("another writer writes an entry of the service %q under the id %s; the executor writes its own in %v", "unnamed", exe.id, time.Until(exe.nextBeat).Round(time.Millisecond))
		lab.mu.Unlock()
	}
	time.Sleep(12 * time.Second)
	lab.checkOverlaps()
	return nil
}
