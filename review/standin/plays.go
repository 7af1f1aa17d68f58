package main

import (
	"errors"
	"fmt"
	"time"
)

// twiceSetup has executors whose clocks are 2% slow, the most that the pages allow.
var twiceSetup = options{nodes: 3, executors: 6, rate: 0.98}

// cutTime is how long one of the six executors is cut off, the longest that the site
// file has for 0.17 of them.
const cutTime = 5500 * time.Millisecond

// idleTime is how long the executors are idle before the job comes.
const idleTime = 70 * time.Second

// playTwice hands in a job after a quiet time, and cuts the executor off that has
// just started the job's task.
func playTwice(wld *world) (broken []string, err error) {
	time.Sleep(idleTime)
	const id = "00000000000000a1"
	if err = wld.submit("jobs", id, step{count: 1, cpu: 1000, time: 12 * time.Second}); err != nil {
		return nil, err
	}
	if err = await("the task starts", 5*time.Second, func() bool { return len(wld.startsOf(id)) > 0 }); err != nil {
		return nil, err
	}
	time.Sleep(400 * time.Millisecond)
	if wld.trouble {
		exe := wld.living(wld.startsOf(id)[0].executor)
		exe.setCut(true)
		time.AfterFunc(cutTime, func() { exe.setCut(false) })
	}
	time.Sleep(14 * time.Second)
	return overlaps(wld.startsOf(id)), nil
}

// overlaps returns the pairs of runs of one task that ran at the same time.
func overlaps(starts []start) (broken []string) {
	for i, one := range starts {
		for _, oth := range starts[:i] {
			if one.task == oth.task && (oth.end.IsZero() || one.at.Before(oth.end)) {
				broken = append(broken, fmt.Sprintf("TWICE: %s run %d starts on %s while run %d is at work on %s, which ends it %d ms later",
					one.task, one.run, one.executor, oth.run, oth.executor, oth.end.Sub(one.at).Milliseconds()))
			}
		}
	}
	return broken
}

// limitSetup has room for the tasks of each machine on the others.
var limitSetup = options{nodes: 3, executors: 6, rate: 1}

// playLimit asks for a wave of which one machine at a time may be down, while the
// list of machines carries out calls and loses the answers for some time.
func playLimit(wld *world) (broken []string, err error) {
	const id = "00000000000000b1"
	if err = wld.submit("jobs", id, step{count: 12, cpu: 1000}); err != nil {
		return nil, err
	}
	if err = await("the tasks start", 10*time.Second, func() bool { return len(wld.startsOf(id)) == 12 }); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	var wav wave
	for _, exe := range wld.executors {
		wav.Machines = append(wav.Machines, exe.machine())
	}
	wav.Wave, wav.DurationS, wav.Cap = 7, 28, 1
	if wld.trouble {
		wld.cloud.setMute(true)
		time.AfterFunc(3*time.Second, func() { wld.cloud.setMute(false) })
	}
	wld.cloud.ask(wav)
	time.Sleep(30 * time.Second)
	wld.cloud.mu.Lock()
	defer wld.cloud.mu.Unlock()
	return wld.cloud.broken, nil
}

// lostSetup has a queue on which a task may fail four times.
var lostSetup = options{nodes: 3, executors: 8, rate: 1, attempts: 4}

// playLost hands in a job with one task, and lets the executor crash on which it
// runs, three times.
func playLost(wld *world) (broken []string, err error) {
	const id = "00000000000000c1"
	if err = wld.submit("jobs", id, step{count: 1, cpu: 1000, time: 6 * time.Second}); err != nil {
		return nil, err
	}
	for crash := range 3 {
		if err = await("the task starts", 30*time.Second, func() bool { return len(wld.startsOf(id)) > crash }); err != nil {
			return nil, err
		}
		if !wld.trouble {
			break
		}
		time.Sleep(2 * time.Second)
		starts := wld.startsOf(id)
		if exe := wld.living(starts[len(starts)-1].executor); exe != nil {
			exe.die("down", "", 4500*time.Millisecond)
		}
	}
	for range 30 {
		time.Sleep(time.Second)
		status, state := wld.state("jobs", id)
		switch {
		case state == "failed" || state == "cancelled" || status == 410:
			return []string{fmt.Sprintf("LOST: job %s is answered %d and shown as %q; no run of it has ended failed, nobody has cancelled it: %s", id, status, state, ends(wld.startsOf(id)))}, nil
		case state == "completed":
			return nil, nil
		}
	}
	return nil, fmt.Errorf("job %s hasn't ended", id)
}

// ends lists how the runs ended.
func ends(starts []start) (text string) {
	for _, sta := range starts {
		text += fmt.Sprintf("run %d on %s %s; ", sta.run, sta.executor, sta.how)
	}
	return text
}

// adviceSetup has queues that need advice.
var adviceSetup = options{nodes: 3, executors: 4, rate: 1, advice: true}

// playAdvice hands in a job of two steps on a queue that needs advice, and removes
// the queue during the first step.
func playAdvice(wld *world) (broken []string, err error) {
	const id = "00000000000000d1"
	if err = wld.submit("ask", id, step{count: 1, cpu: 1000, time: 3 * time.Second}, step{count: 1, cpu: 1000, time: 3 * time.Second, after: []int{0}}); err != nil {
		return nil, err
	}
	if err = await("the first step starts", 10*time.Second, func() bool { return len(wld.startsOf(id)) > 0 }); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	if wld.trouble {
		wld.configure(false)
	}
	if err = await("the first step ends", 10*time.Second, func() bool { return wld.startsOf(id)[0].how == "done" }); err != nil {
		return nil, err
	}
	due := time.Now()
	for time.Since(due) < 30*time.Second {
		if len(wld.startsOf(id)) > 1 {
			return nil, nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return []string{fmt.Sprintf("LOST: the second step of job %s has had its turn for %.0f s, all executors are idle, and nothing of the job runs", id, time.Since(due).Seconds())}, nil
}

// staleSetup has two machines for the wave and two others.
var staleSetup = options{nodes: 3, executors: 4, rate: 1}

// Times of playStale.
const (
	// slowAnswer is 50 times the answer time of the list of machines.
	slowAnswer = 200 * time.Millisecond
	// resetAfter is how long after its start the connections to an executor are
	// reset.
	resetAfter = 120 * time.Millisecond
	// staleTask is how long a task works.
	staleTask = 4 * time.Second
)

// playStale lets a machine come back from its upkeep while a list of machines is
// being answered, and resets the connections to its executor before the answer
// arrives.
func playStale(wld *world) (broken []string, err error) {
	const id = "00000000000000e1"
	exe, clo := wld.executors[0], wld.cloud
	time.Sleep(3 * time.Second)
	clo.mu.Lock()
	clo.back = true
	if wld.trouble {
		clo.slow = slowAnswer
	}
	clo.mu.Unlock()
	clo.ask(wave{Wave: 7, Machines: []string{exe.machine(), wld.executors[1].machine()}, DurationS: 28, Cap: 1})
	if err = await("the upkeep begins", 10*time.Second, func() bool { return exe.row()["state"] == "upkeep" }); err != nil {
		return nil, err
	}
	began := time.Now()
	if err = wld.submit("jobs", id, step{count: 64, cpu: 1000, time: staleTask}); err != nil {
		return nil, err
	}
	back := make(chan struct{})
	clo.mu.Lock()
	clo.onList = func() {
		clo.mu.Lock()
		defer clo.mu.Unlock()
		if time.Since(began) < maintenanceTime {
			return
		}
		clo.onList = nil
		wld.rec.note("a list of machines is read, its answer is on the way")
		exe.liveAgain("lots")
		close(back)
	}
	clo.mu.Unlock()
	select {
	case <-back:
	case <-time.After(15 * time.Second):
		return nil, fmt.Errorf("no list of machines was asked for")
	}
	time.Sleep(resetAfter)
	if wld.trouble {
		exe.resetConnections()
	}
	time.Sleep(3 * staleTask)
	return overlaps(wld.startsOf(id)), nil
}

// givenUpSetup has more executors than the job has tasks.
var givenUpSetup = options{nodes: 3, executors: 8, rate: 1, attempts: 4}

// crashes is how often an executor crashes in playGivenUp.
const crashes = 4

// playGivenUp hands in a job whose tasks last, and lets the executor crash on which
// its first task has just been started, four times.
func playGivenUp(wld *world) (broken []string, err error) {
	const id, first = "00000000000000f1", "00000000000000f1.0.0.0"
	const tasks, mayMiss = 5, 1
	if err = wld.submit("jobs", id, step{count: tasks, cpu: 4000, mayMiss: mayMiss}); err != nil {
		return nil, err
	}
	if err = await("the tasks start", 10*time.Second, func() bool { return len(wld.startsOf(id)) >= tasks }); err != nil {
		return nil, err
	}
	runsOf := func() (all []start) {
		for _, sta := range wld.startsOf(id) {
			if sta.task == first {
				all = append(all, sta)
			}
		}
		return all
	}
	for crash := range crashes {
		if !wld.trouble {
			break
		}
		if err = await("the first task starts", 20*time.Second, func() bool { return len(runsOf()) > crash }); err != nil {
			return nil, err
		}
		time.Sleep(1500 * time.Millisecond)
		if exe := wld.living(runsOf()[crash].executor); exe != nil {
			exe.die("down", "", 4500*time.Millisecond)
		}
	}
	time.Sleep(12 * time.Second)
	stopped := ""
	count := 0
	for _, sta := range wld.startsOf(id) {
		if sta.how == "stopped" {
			stopped += " " + sta.task
			count++
		}
	}
	_, state := wld.state("jobs", id)
	if count > mayMiss {
		broken = append(broken, fmt.Sprintf("AVAIL: stops end%s, at work on sound executors; %d may be away, nobody has cancelled the job, and it is shown as %q", stopped, mayMiss, state))
	}
	return broken, nil
}

// pendingSetup is a small pool.
var pendingSetup = options{nodes: 3, executors: 2, rate: 1}

// playPending fills the pool with tasks that last, hands in six jobs that have to
// wait, and asks for the number of jobs that haven't begun. The answer to one write
// of the store is lost, and the write is done later.
func playPending(wld *world) (broken []string, err error) {
	const waiting = 6
	full := "00000000000000aa"
	if err = wld.submit("jobs", full, step{count: 32, cpu: 1000}); err != nil {
		return nil, err
	}
	if err = await("the pool is full", 10*time.Second, func() bool { return len(wld.startsOf(full)) == 32 }); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	if wld.trouble {
		wld.late.delay("duty/load")
	}
	for i := range waiting {
		id := fmt.Sprintf("00000000000000b%d", i)
		if err = wld.submit("jobs", id, step{count: 1, cpu: 1000}); err != nil {
			return nil, err
		}
		if i == 0 {
			time.Sleep(1500 * time.Millisecond)
		}
	}
	if wld.trouble {
		select {
		case <-wld.late.done:
		case <-time.After(15 * time.Second):
			return nil, fmt.Errorf("no write was late")
		}
	}
	time.Sleep(8 * time.Second)
	worst := 0
	for range 20 {
		low := false
		for _, nod := range wld.nodes {
			count, ok := wld.pending(nod, "jobs")
			low = low || ok && 2*count < waiting
		}
		if low {
			worst++
		}
		time.Sleep(500 * time.Millisecond)
	}
	if worst > 0 {
		broken = append(broken, fmt.Sprintf("MIXED: for 10 s, %d of 20 times, a node gives as pending under half of the %d jobs that were accepted over 8 s before and haven't begun", worst, waiting))
	}
	return broken, nil
}

// oneSetup is a pool of which half is due for upkeep.
var oneSetup = options{nodes: 3, executors: 96, rate: 1}

// Times of playOne.
const (
	waveTime = 20 * time.Second
	// lateAfter is how long after its request the dispatcher no longer waits for the
	// tasks on the machines of the wave.
	lateAfter = 15 * time.Second
	// cutBefore is how long before that the dispatcher is cut off from the store, or
	// up to one renewal later.
	cutBefore = 1350 * time.Millisecond
	// cutFor is how long it is cut off, as in the site file.
	cutFor = 4 * time.Second
)

// playOne asks for a wave of machines that are at work, and cuts the dispatcher off
// from the store just before it orders their upkeep, while the list of machines is
// slow.
func playOne(wld *world) (broken []string, err error) {
	const id = "00000000000000f7"
	machines := len(wld.executors)
	if err = wld.submit("jobs", id, step{count: machines, cpu: 12000, time: time.Second + lateAfter + 200*time.Millisecond}); err != nil {
		return nil, err
	}
	if err = await("the tasks start", 10*time.Second, func() bool { return len(wld.startsOf(id)) == machines }); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	wav := wave{Wave: 7, DurationS: waveTime.Seconds(), Cap: machines / 2}
	for _, exe := range wld.executors[:machines/2] {
		wav.Machines = append(wav.Machines, exe.machine())
	}
	wld.cloud.ask(wav)
	time.Sleep(lateAfter - cutBefore)
	if wld.trouble {
		nod := wld.holder()
		if nod == nil {
			return nil, errors.New("no process holds the duty")
		}
		wld.cloud.mu.Lock()
		wld.cloud.slow = slowAnswer
		wld.cloud.mu.Unlock()
		since := time.Now()
		if err = await("the duty is renewed", time.Second, func() bool { return nod.link.renewedSince(since) }); err != nil {
			return nil, err
		}
		nod.link.setCut(true)
		time.AfterFunc(cutFor, func() { nod.link.setCut(false) })
	}
	time.Sleep(10 * time.Second)
	wld.cloud.mu.Lock()
	defer wld.cloud.mu.Unlock()
	return wld.cloud.stale, nil
}

// rebornSetup has executors that are reached over a wire. One of eight is 0.125 of them,
// below the site file's 0.14.
var rebornSetup = options{nodes: 3, executors: 8, rate: 1, wires: true}

// Times and sizes of playReborn.
const (
	// startDelay is how long the start is on its way; it gets no answer. The site file
	// has 2 to 12 s.
	startDelay = 2 * time.Second
	// restartTime is how long the executor is down.
	restartTime = 200 * time.Millisecond
	// otherJobs come beside, one each otherPause, so that the late start is one of many
	// orders: the site file has a share of 0.06.
	otherJobs  = 12
	otherPause = 400 * time.Millisecond
	lateShare  = 0.06
)

// playReborn lets an executor crash and start again under its id while a start for it
// is on its way.
func playReborn(wld *world) (broken []string, err error) {
	const id = "00000000000000e9"
	time.Sleep(3 * time.Second)
	go func() {
		for i := range otherJobs {
			if err := wld.submit("jobs", fmt.Sprintf("00000000000001%02d", i), step{count: 6, cpu: 1000, time: 300 * time.Millisecond}); err != nil {
				wld.rec.note("%v", err)
			}
			time.Sleep(otherPause)
		}
	}()
	time.Sleep(time.Second)
	if wld.trouble {
		wld.lateStart.delay(id, startDelay)
	}
	if err = wld.submit("jobs", id, step{count: 1, cpu: 16000, time: 4 * time.Second}); err != nil {
		return nil, err
	}
	if wld.trouble {
		select {
		case exe := <-wld.lateStart.taken:
			exe.mu.Lock()
			exe.keepID = true
			exe.mu.Unlock()
			exe.die("down", "", restartTime)
		case <-time.After(10 * time.Second):
			return nil, errors.New("no start was sent")
		}
	}
	time.Sleep(10 * time.Second)
	if orders := wld.lateStart.count(); wld.trouble {
		wld.rec.note("1 of %d orders to executors in %v was late", orders, lateWindow)
		if lateShare*float64(orders) < 1 {
			return nil, fmt.Errorf("1 of %d orders was late, more than a share of %g", orders, lateShare)
		}
	}
	return overlaps(wld.startsOf(id)), nil
}
