package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Bounds of an executor, as in the settings of the processes.
const (
	holdMax       = 6 * time.Second
	stopTime      = 100 * time.Millisecond
	heartbeat     = 1500 * time.Millisecond
	capacityCPU   = 16000
	capacityMB    = 32768
	endsPerAnswer = 500
)

// executor is one machine with the executor that lives on it. It follows the page
// PROTOCOL.md, "Running tasks".
type executor struct {
	wld   *world
	index int
	// rate is the speed of its clock relative to true time.
	rate float64

	mu    sync.Mutex
	lives int
	// state is that of the machine. id, address, born, server and the rest belong
	// to the current life.
	state   string
	service string
	id      string
	address string
	born    time.Time
	server  *http.Server
	conns   map[net.Conn]bool
	// wire is nil if the executor is reached at its own address.
	wire *wire
	// keepID is set if the next life has the id of the last.
	keepID bool
	// cut is set while no process of the system can reach the executor.
	cut      bool
	token    int64
	deadline time.Duration
	runs     map[string]*run
	ended    map[string]int
	ends     []end
	lastEnd  int64
	changed  chan struct{}
}

// run is a task at work.
type run struct {
	task     string
	number   int
	began    time.Time
	finishes time.Time
	outcome  string
	cpu      int64
	stopAt   time.Time
}

// end is a run that has ended.
type end struct {
	number int64
	run    *run
	how    string
	at     time.Time
}

func (exe *executor) machine() string { return fmt.Sprintf("m%d", exe.index) }

// clock returns the executor's own steady clock. The lock must be held.
func (exe *executor) clock() time.Duration {
	return time.Duration(float64(time.Since(exe.born)) * exe.rate)
}

// live begins a life on the machine.
func (exe *executor) live(service string) (err error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen for an executor: %w", err)
	}
	exe.mu.Lock()
	defer exe.mu.Unlock()
	exe.lives++
	if !exe.keepID {
		exe.id = fmt.Sprintf("e%d-%d", exe.index, exe.lives)
	}
	exe.address, exe.service = lis.Addr().String(), service
	exe.born, exe.state, exe.token, exe.deadline, exe.lastEnd = time.Now(), "up", 0, 0, 0
	exe.runs, exe.ended, exe.ends, exe.changed = map[string]*run{}, map[string]int{}, nil, make(chan struct{})
	life := exe.lives
	exe.server = &http.Server{Handler: http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) { exe.serve(wri, req, life) }), ReadHeaderTimeout: time.Second}
	exe.conns = map[net.Conn]bool{}
	exe.server.ConnState = func(con net.Conn, state http.ConnState) { exe.track(con, state, life) }
	srv := exe.server
	go func() { _ = srv.Serve(lis) }()
	go exe.work(life)
	go exe.beat(life, exe.id)
	exe.wld.rec.note("executor %s of machine %s begins to live in %s at %s", exe.id, exe.machine(), service, exe.address)
	return nil
}

// die ends the current life with all that runs, and begins another one after the
// pause, if there is one. The machine is in the given state meanwhile.
func (exe *executor) die(state, service string, pause time.Duration) {
	exe.mu.Lock()
	defer exe.mu.Unlock()
	if exe.state != "up" {
		return
	}
	exe.state = state
	for _, one := range exe.runs {
		exe.wld.ended(exe.id, one, "gone")
	}
	exe.runs = map[string]*run{}
	srv := exe.server
	go func() { _ = srv.Close() }()
	exe.wld.rec.note("executor %s ends, machine %s is %s", exe.id, exe.machine(), state)
	if service == "" {
		service = exe.service
	}
	if pause > 0 {
		time.AfterFunc(pause, func() { exe.liveAgain(service) })
	}
}

// liveAgain begins a life and notes why it fails.
func (exe *executor) liveAgain(service string) {
	if err := exe.live(service); err != nil {
		exe.wld.rec.note("%v", err)
	}
}

// resetConnections resets the open connections of the current life.
func (exe *executor) resetConnections() {
	exe.mu.Lock()
	defer exe.mu.Unlock()
	all := len(exe.conns)
	for _, oth := range exe.wld.executors {
		if oth != exe {
			oth.mu.Lock()
			all += len(oth.conns)
			oth.mu.Unlock()
		}
	}
	exe.wld.rec.note("%d connections of executor %s are reset, of %d between the dispatcher and all executors", len(exe.conns), exe.id, all)
	for con := range exe.conns {
		if tcp, ok := con.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = con.Close()
	}
}

// track keeps the open connections of a life.
func (exe *executor) track(con net.Conn, state http.ConnState, life int) {
	exe.mu.Lock()
	defer exe.mu.Unlock()
	switch {
	case exe.lives != life:
	case state == http.StateNew:
		exe.conns[con] = true
	case state == http.StateClosed || state == http.StateHijacked:
		delete(exe.conns, con)
	}
}

// setCut cuts the executor off from all processes of the system, or ends that.
func (exe *executor) setCut(cut bool) {
	exe.mu.Lock()
	defer exe.mu.Unlock()
	exe.cut = cut
	exe.wld.rec.note("executor %s is cut off: %v", exe.id, cut)
}

// beat registers a life until it has ended, and then for three more heartbeats.
func (exe *executor) beat(life int, id string) {
	for sequence := 1; ; sequence++ {
		exe.mu.Lock()
		living := exe.lives == life && exe.state == "up"
		entry := map[string]any{
			"service": exe.service, "address": exe.registered(), "zone": exe.zone(), "version": "v1", "slots": 8, "state": "ready",
			"cold-remaining-ms": 0, "sequence": sequence, "born": exe.born.UnixMilli(), "labels": exe.labels(), "capacity": capacity(),
		}
		exe.mu.Unlock()
		if !living {
			time.Sleep(2 * heartbeat)
			if exe.wld.living(id) == nil {
				exe.wld.sit.Store.Delete("servers/" + id)
			}
			return
		}
		exe.wld.sit.Store.Put("servers/"+id, entry)
		time.Sleep(heartbeat)
	}
}

// registered returns the address in the registration. The lock must be held.
func (exe *executor) registered() string {
	if exe.wire != nil {
		return exe.wire.address
	}
	return exe.address
}

func (exe *executor) zone() string { return fmt.Sprintf("az%d", exe.index%2) }

func (exe *executor) labels() []string { return []string{"a", fmt.Sprintf("r%d", exe.index/4+1)} }

func capacity() map[string]int64 {
	return map[string]int64{"cpu": capacityCPU, "mem-mb": capacityMB, "gpu": 0}
}

// row is the machine as the list of machines shows it.
func (exe *executor) row() map[string]any {
	exe.mu.Lock()
	defer exe.mu.Unlock()
	row := map[string]any{
		"machine": exe.machine(), "pool": exe.service, "state": exe.state, "zone": exe.zone(), "labels": exe.labels(), "capacity": capacity(), "id": "",
	}
	if exe.state == "up" {
		row["id"] = exe.id
	}
	return row
}

// work ends runs when they are finished, stopped or out of lease.
func (exe *executor) work(life int) {
	for ; ; time.Sleep(2 * time.Millisecond) {
		exe.mu.Lock()
		if exe.lives != life || exe.state != "up" {
			exe.mu.Unlock()
			return
		}
		now, lapsed := time.Now(), exe.clock() > exe.deadline
		for _, one := range exe.runs {
			switch {
			case lapsed:
				exe.end(one, "lapsed")
			case !one.stopAt.IsZero() && now.After(one.stopAt):
				exe.end(one, "stopped")
			case !one.finishes.IsZero() && now.After(one.finishes):
				exe.end(one, one.outcome)
			}
		}
		exe.mu.Unlock()
	}
}

// end ends a run. The lock must be held.
func (exe *executor) end(one *run, how string) {
	delete(exe.runs, one.task)
	exe.ended[one.task] = max(exe.ended[one.task], one.number)
	exe.lastEnd++
	exe.ends = append(exe.ends, end{exe.lastEnd, one, how, time.Now()})
	exe.wld.ended(exe.id, one, how)
	close(exe.changed)
	exe.changed = make(chan struct{})
}

// order is the body of every order.
type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline-ms"`
	Token    int64  `json:"fencing-token"`
	Ticket   string `json:"ticket"`
	Acked    int64  `json:"acked"`
	Wait     int64  `json:"wait-ms"`
}

// awaitHeal waits while the executor is cut off. It reports whether it waited: then
// the request was lost in the cut.
func (exe *executor) awaitHeal(req *http.Request) (waited bool) {
	for {
		exe.mu.Lock()
		cut := exe.cut
		exe.mu.Unlock()
		if !cut {
			return waited
		}
		waited = true
		select {
		case <-req.Context().Done():
			return true
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// serve carries out an order to a life.
func (exe *executor) serve(wri http.ResponseWriter, req *http.Request, life int) {
	var ord order
	if err := json.NewDecoder(req.Body).Decode(&ord); err != nil {
		wri.WriteHeader(http.StatusBadRequest)
		return
	}
	if exe.awaitHeal(req) {
		panic(http.ErrAbortHandler)
	}
	status, body := exe.carryOut(req, ord, life)
	if exe.awaitHeal(req) || status == 0 {
		panic(http.ErrAbortHandler)
	}
	answer(wri, status, body)
}

func answer(wri http.ResponseWriter, status int, body any) {
	wri.Header().Set("Content-Type", "application/json")
	wri.WriteHeader(status)
	// An error means that the caller has left.
	_ = json.NewEncoder(wri).Encode(body)
}

// carryOut carries out an order and returns the answer; status 0 is none.
func (exe *executor) carryOut(req *http.Request, ord order, life int) (status int, body any) {
	exe.mu.Lock()
	defer exe.mu.Unlock()
	switch {
	case exe.lives != life || exe.state != "up":
		return 0, nil
	case req.Header.Get("X-Expected-Instance") != exe.id:
		return http.StatusMisdirectedRequest, map[string]any{}
	case ord.Token < exe.token:
		return exe.refuse("fence")
	}
	exe.token = ord.Token
	// A lease is shortened to the longest that there is, and never shortens.
	lease := min(time.Duration(ord.Deadline)*time.Millisecond, exe.clock()+holdMax)
	exe.deadline = max(exe.deadline, lease)
	switch req.URL.Path {
	case "/run-start":
		return exe.start(req, ord)
	case "/run-stop":
		exe.ended[ord.Task] = max(exe.ended[ord.Task], ord.Run)
		if one := exe.runs[ord.Task]; one != nil && one.number <= ord.Run && one.stopAt.IsZero() {
			one.stopAt = time.Now().Add(stopTime)
		}
		return http.StatusOK, map[string]any{"clock-ms": exe.clock().Milliseconds()}
	case "/pace":
		return http.StatusOK, map[string]any{"clock-ms": exe.clock().Milliseconds()}
	case "/hold":
		return exe.hold(req, ord, life)
	default:
		return http.StatusNotFound, map[string]any{}
	}
}

func (exe *executor) refuse(reason string) (status int, body any) {
	return http.StatusConflict, map[string]any{"clock-ms": exe.clock().Milliseconds(), "reason": reason}
}

// start starts a run. The lock must be held.
func (exe *executor) start(req *http.Request, ord order) (status int, body any) {
	wor, err := parseSpec(ord.Spec)
	if err != nil {
		return http.StatusBadRequest, map[string]any{}
	}
	one, used := exe.runs[ord.Task], int64(0)
	for _, oth := range exe.runs {
		used += oth.cpu
	}
	switch {
	case one != nil && one.number == ord.Run:
	case one != nil || ord.Run <= exe.ended[ord.Task]:
		return exe.refuse("old")
	case time.Duration(ord.Deadline)*time.Millisecond < exe.clock():
		return exe.refuse("late")
	case exe.wld.setup.advice && ord.Ticket != ticketOf(ord.Task[:strings.LastIndexByte(ord.Task, '.')], exe.id):
		exe.wld.rec.note("%s refuses %s run %d: ticket %q", exe.id, ord.Task, ord.Run, ord.Ticket)
		return exe.refuse("ticket")
	case used+wor.cpu > capacityCPU:
		return exe.refuse("room")
	default:
		one = &run{task: ord.Task, number: ord.Run, began: time.Now(), cpu: wor.cpu, outcome: "done"}
		if wor.time > 0 {
			one.finishes = one.began.Add(wor.time)
		}
		exe.runs[ord.Task] = one
		exe.wld.started(exe.id, one, req.RemoteAddr, ord.Token)
	}
	return http.StatusOK, map[string]any{"clock-ms": exe.clock().Milliseconds()}
}

// hold drops the acknowledged ends and lists the others and what runs. The lock
// must be held; it is released during the wait.
func (exe *executor) hold(req *http.Request, ord order, life int) (status int, body any) {
	exe.ends = slices.DeleteFunc(exe.ends, func(one end) bool {
		if one.number <= ord.Acked {
			exe.wld.acked(exe.id, one)
		}
		return one.number <= ord.Acked
	})
	wait := time.NewTimer(time.Duration(ord.Wait) * time.Millisecond)
	defer wait.Stop()
	for expired := ord.Wait == 0; len(exe.ends) == 0 && !expired; {
		changed := exe.changed
		exe.mu.Unlock()
		select {
		case <-changed:
		case <-wait.C:
			expired = true
		case <-req.Context().Done():
			expired = true
		}
		exe.mu.Lock()
	}
	if exe.lives != life || exe.state != "up" {
		return 0, nil
	}
	running, finished := [][]any{}, [][]any{}
	for _, one := range exe.runs {
		percent := 0
		if one.finishes.IsZero() && time.Since(one.began) > 300*time.Millisecond {
			percent = 100
		}
		running = append(running, []any{one.task, one.number, "", percent, 0})
	}
	for _, one := range exe.ends[:min(len(exe.ends), endsPerAnswer)] {
		finished = append(finished, []any{one.number, one.run.task, one.run.number, one.how, ""})
	}
	return http.StatusOK, map[string]any{"clock-ms": exe.clock().Milliseconds(), "born": exe.born.UnixMilli(), "running": running, "finished": finished}
}
