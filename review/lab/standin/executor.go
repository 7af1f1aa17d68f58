package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// size is an amount of resources.
type size struct {
	CPU int64 `json:"cpu"`
	Mem int64 `json:"mem-mb"`
	GPU int64 `json:"gpu"`
}

// executor is a machine with the executor that lives on it. The lock of the lab guards
// its fields.
type executor struct {
	lab     *lab
	machine string
	address string
	zone    string
	pool    string
	labels  []string
	// id and born identify the present life, or the last one while none is up.
	id   string
	born time.Time
	up   bool
	// cut reports whether no machine of the system reaches the executor, nor it them.
	cut bool
	// nextBeat is when the executor writes its entry next.
	nextBeat time.Time

	// upkeepUntil is when the upkeep of the machine is over; zero while it has none. begun
	// holds the waves in which it has begun.
	upkeepUntil time.Time
	begun       map[int64]bool

	token    int64
	deadline time.Duration
	runs     map[string]*activeRun
	finished []endedRun
	lastEnd  int64
	highest  map[string]int
	changed  chan struct{}
}

type activeRun struct {
	run int
	// endsAt is when the run ends by itself, stopAt when it has been stopped; zero if
	// it wasn't asked to.
	endsAt, stopAt time.Time
}

type endedRun struct {
	number    int64
	task, how string
	run       int
}

const (
	heartbeat   = 1500 * time.Millisecond
	holdMax     = 6 * time.Second
	stopTime    = 100 * time.Millisecond
	capacityCPU = 16000
	capacityMem = 32768
)

// boot begins a life of the executor, which knows nothing of those before. The lock must
// be held.
func (exe *executor) boot(id string, now time.Time) {
	exe.id, exe.born, exe.up = id, now, true
	exe.token, exe.deadline, exe.lastEnd = 0, 0, 0
	exe.runs, exe.highest, exe.finished, exe.changed = map[string]*activeRun{}, map[string]int{}, nil, make(chan struct{})
	exe.nextBeat = now
	exe.lab.note("executor %s boots on machine %s with labels %v, born %d", id, exe.machine, exe.labels, now.UnixMilli())
}

// crash ends the life of the executor with all its runs. The lock must be held.
func (exe *executor) crash() {
	for task, run := range exe.runs {
		exe.lab.ended(exe, task, run.run, "crashed")
	}
	exe.up, exe.runs = false, map[string]*activeRun{}
	exe.lab.note("executor %s crashes", exe.id)
}

// beat writes the executor's entry when it is due. The lock must be held.
func (exe *executor) beat(now time.Time) {
	if !exe.up || now.Before(exe.nextBeat) {
		return
	}
	exe.nextBeat = now.Add(heartbeat)
	exe.lab.store.write("servers/"+exe.id, map[string]any{
		"service": exe.pool, "address": exe.address, "zone": exe.zone, "version": "v1", "slots": 8, "state": "ready",
		"cold-remaining-ms": 0, "sequence": now.UnixMilli(), "born": exe.born.UnixMilli(),
		"capacity": size{CPU: capacityCPU, Mem: capacityMem}, "labels": exe.labels,
	})
}

func (exe *executor) clock(now time.Time) time.Duration { return now.Sub(exe.born) }

// step ends the runs that are over. The lock must be held.
func (exe *executor) step(now time.Time) {
	for task, run := range exe.runs {
		switch {
		case exe.clock(now) > exe.deadline:
			exe.end(task, run, "lapsed")
		case !run.stopAt.IsZero() && now.After(run.stopAt):
			exe.end(task, run, "stopped")
		case !run.endsAt.IsZero() && now.After(run.endsAt):
			exe.end(task, run, "done")
		}
	}
}

func (exe *executor) end(task string, run *activeRun, how string) {
	delete(exe.runs, task)
	exe.highest[task] = max(exe.highest[task], run.run)
	exe.lastEnd++
	exe.finished = append(exe.finished, endedRun{number: exe.lastEnd, task: task, run: run.run, how: how})
	exe.lab.ended(exe, task, run.run, how)
	close(exe.changed)
	exe.changed = make(chan struct{})
}

// order is the body of every order. Each path uses a part of it.
type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Token    int64  `json:"fencing-token"`
	Deadline int64  `json:"deadline-ms"`
	Acked    int64  `json:"acked"`
	Wait     int64  `json:"wait-ms"`
	Spec     string `json:"spec"`
}

// ServeHTTP serves orders.
func (exe *executor) ServeHTTP(wri http.ResponseWriter, req *http.Request) {
	var ord order
	if json.NewDecoder(req.Body).Decode(&ord) != nil {
		wri.WriteHeader(http.StatusBadRequest)
		return
	}
	expected := req.Header.Get("X-Expected-Instance")
	lab := exe.lab
	lab.mu.Lock()
	if !exe.up {
		lab.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if exe.cut {
		lab.mu.Unlock()
		<-req.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if delay := lab.delayOf(exe, req.URL.Path, ord); delay > 0 {
		lab.note("executor %s leaves %s of %s run %d with token %d unanswered, to carry it out in %v", exe.id, req.URL.Path, ord.Task, ord.Run, ord.Token, delay)
		time.AfterFunc(delay, func() {
			lab.mu.Lock()
			defer lab.mu.Unlock()
			if exe.up {
				status, body := exe.carryOut(time.Now(), req.URL.Path, expected, ord)
				lab.note("executor %s carries out the late %s of %s run %d: %d %v", exe.id, req.URL.Path, ord.Task, ord.Run, status, body)
			}
		})
		lab.mu.Unlock()
		<-req.Context().Done()
		panic(http.ErrAbortHandler)
	}
	born := exe.born
	status, body := exe.carryOut(time.Now(), req.URL.Path, expected, ord)
	if status == http.StatusOK && req.URL.Path == "/hold" {
		body = exe.await(ord, born)
	}
	gone := !exe.up || !exe.born.Equal(born)
	silent := exe.cut
	lab.mu.Unlock()
	switch {
	case silent:
		<-req.Context().Done()
		panic(http.ErrAbortHandler)
	case gone:
		panic(http.ErrAbortHandler)
	}
	writeJSON(wri, status, body)
}

// carryOut carries out an order. The lock must be held.
func (exe *executor) carryOut(now time.Time, path, expected string, ord order) (status int, body any) {
	clock := exe.clock(now)
	refuse := func(reason string) (int, any) {
		return http.StatusConflict, map[string]any{"clock-ms": clock.Milliseconds(), "reason": reason}
	}
	if expected != exe.id {
		return http.StatusMisdirectedRequest, struct{}{}
	}
	if ord.Token < exe.token {
		return refuse("fence")
	}
	exe.token = ord.Token
	exe.deadline = max(exe.deadline, min(time.Duration(ord.Deadline)*time.Millisecond, clock+holdMax))
	accepted := map[string]any{"clock-ms": clock.Milliseconds()}
	run := exe.runs[ord.Task]
	switch path {
	case "/run-start":
		switch {
		case run != nil && run.run == ord.Run:
			return http.StatusOK, accepted
		case run != nil || ord.Run <= exe.highest[ord.Task]:
			return refuse("old")
		case time.Duration(ord.Deadline)*time.Millisecond < clock:
			return refuse("late")
		case !exe.fits(exe.lab.sizeOf(ord.Task)):
			return refuse("room")
		}
		exe.start(now, ord)
	case "/run-stop":
		exe.highest[ord.Task] = max(exe.highest[ord.Task], ord.Run)
		if run != nil && run.run <= ord.Run && run.stopAt.IsZero() {
			run.stopAt = now.Add(stopTime)
		}
	case "/hold":
		exe.acknowledge(ord.Acked)
	case "/pace":
	default:
		return http.StatusNotFound, struct{}{}
	}
	return http.StatusOK, accepted
}

// acknowledge forgets the ends up to a number.
func (exe *executor) acknowledge(upTo int64) {
	kept := exe.finished[:0]
	for _, end := range exe.finished {
		if end.number > upTo {
			kept = append(kept, end)
		} else {
			exe.lab.acked(exe, end)
		}
	}
	exe.finished = kept
}

func (exe *executor) fits(siz size) bool {
	for task := range exe.runs {
		oth := exe.lab.sizeOf(task)
		siz.CPU, siz.Mem = siz.CPU+oth.CPU, siz.Mem+oth.Mem
	}
	return siz.CPU <= capacityCPU && siz.Mem <= capacityMem
}

func (exe *executor) start(now time.Time, ord order) {
	run := &activeRun{run: ord.Run}
	if work := exe.lab.durationOf(ord.Task); work > 0 {
		run.endsAt = now.Add(work)
	}
	exe.runs[ord.Task] = run
	exe.lab.started(exe, ord)
}

// await waits for an end as long as the order says, and returns the report. The lock
// must be held; it is released while waiting.
func (exe *executor) await(ord order, born time.Time) any {
	expired := time.After(time.Duration(ord.Wait) * time.Millisecond)
	for over := ord.Wait == 0; len(exe.finished) == 0 && !over && exe.up && exe.born.Equal(born); {
		changed := exe.changed
		exe.lab.mu.Unlock()
		select {
		case <-changed:
		case <-expired:
			over = true
		case <-time.After(20 * time.Millisecond):
		}
		exe.lab.mu.Lock()
	}
	running, finished := [][]any{}, [][]any{}
	for task, run := range exe.runs {
		running = append(running, []any{task, run.run, "", 100, 0})
	}
	for _, end := range exe.finished {
		finished = append(finished, []any{end.number, end.task, end.run, end.how, ""})
	}
	return map[string]any{
		"clock-ms": exe.clock(time.Now()).Milliseconds(), "born": exe.born.UnixMilli(), "running": running, "finished": finished,
	}
}

// jobOf returns the job of a task.
func jobOf(task string) string { return task[:strings.IndexByte(task, '.')] }

// stepOf returns the number of the step of a task.
func stepOf(task string) (step int) {
	var job string
	var occurrence, index int
	if _, err := fmt.Sscanf(strings.ReplaceAll(task, ".", " "), "%s %d %d %d", &job, &occurrence, &step, &index); err != nil {
		panic(err)
	}
	return step
}
