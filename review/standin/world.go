package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/standin/site"
)

// options describe a small deployment.
type options struct {
	// nodes is the number of processes, executors the number of machines in the
	// pool "lots".
	nodes, executors int
	// rate is the speed of the executors' clocks.
	rate float64
	// advice is set if the queue "ask" needs advice.
	advice bool
	// wires is set if the executors are reached over a wire.
	wires bool
	// attempts is the number of failed runs after which a task fails.
	attempts int
}

// start is a run that has begun, with its end as far as it has one.
type start struct {
	executor string
	task     string
	run      int
	at       time.Time
	end      time.Time
	how      string
	// acked is when the end was taken note of.
	acked time.Time
}

// world is everything around the processes. It is safe for concurrent use.
type world struct {
	setup     options
	rec       *record
	trouble   bool
	sit       *site.Site
	executors []*executor
	nodes     []*node
	cloud     *cloud
	late      *lateWrite
	lateStart *lateStart
	advisor   string
	dir       string
	// version is that of the configuration.
	version int

	mu     sync.Mutex
	starts []*start
}

// work is what the spec of a job says of each of its tasks.
type work struct {
	// time is how long a task works; 0 if it lasts.
	time time.Duration
	cpu  int64
}

// parseSpec reads a spec in the form "MILLISECONDS CPU".
func parseSpec(spec string) (wor work, err error) {
	var num int64
	if _, err = fmt.Sscanf(spec, "%d %d", &num, &wor.cpu); err != nil {
		return work{}, fmt.Errorf("spec %q: %w", spec, err)
	}
	wor.time = time.Duration(num) * time.Millisecond
	return wor, nil
}

// newWorld starts the platform, the executors and the processes, and waits until
// the processes are ready.
func newWorld(setup options, program string, rec *record, trouble bool) (wld *world, err error) {
	all := &world{setup: setup, rec: rec, trouble: trouble}
	defer func() {
		if err != nil {
			all.stop()
		}
	}()
	return all, all.begin(program)
}

// begin starts the platform, the executors and the processes.
func (wld *world) begin(program string) (err error) {
	if wld.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return err
	}
	if wld.sit, err = site.Start(site.Options{Pools: []site.Pool{{Name: "lots"}}}); err != nil {
		return err
	}
	wld.late = &lateWrite{done: make(chan struct{})}
	wld.lateStart = &lateStart{taken: make(chan *executor, 1)}
	wld.configure(true)
	for i := range wld.setup.executors {
		exe := &executor{wld: wld, index: i, rate: wld.setup.rate}
		wld.executors = append(wld.executors, exe)
		if wld.setup.wires {
			exe.wire = &wire{exe: exe}
			if exe.wire.address, err = listen(exe.wire); err != nil {
				return err
			}
		}
		if err = exe.live("lots"); err != nil {
			return err
		}
	}
	wld.cloud = &cloud{wld: wld, begun: map[string]bool{}, waves: map[int64]wave{}, tokens: map[string]int64{}}
	if wld.cloud.address, err = listen(wld.cloud); err != nil {
		return err
	}
	if wld.advisor, err = listen(http.HandlerFunc(advise)); err != nil {
		return err
	}
	for i := range wld.setup.nodes {
		nod, err := newNode(wld, program, i)
		if err != nil {
			return err
		}
		wld.nodes = append(wld.nodes, nod)
	}
	for _, nod := range wld.nodes {
		if err = await(nod.name+" is ready", 15*time.Second, nod.isReady); err != nil {
			return err
		}
	}
	return nil
}

// listen serves a handler on a free loopback port.
func listen(handler http.Handler) (address string, err error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	go func() { _ = srv.Serve(lis) }()
	return lis.Addr().String(), nil
}

// stop ends the processes.
func (wld *world) stop() {
	for _, nod := range wld.nodes {
		nod.kill()
	}
	if wld.dir != "" {
		_ = os.RemoveAll(wld.dir)
	}
}

// configure writes a configuration with the queue "jobs" and, if with is set, the
// queue "ask".
func (wld *world) configure(with bool) {
	wld.version += 3
	route := func(name string) map[string]any {
		return map[string]any{
			"name": name, "host": "lots.example", "prefix": "/" + name + "/", "kind": "non_idempotent", "timeout-ms": 3000, "target-duration-ms": 600,
			"priority": 0, "service": "lots", "max-attempts": max(1, wld.setup.attempts), "slack-factor": 1.6, "public": false,
		}
	}
	routes := []any{route("jobs")}
	if with {
		ask := route("ask")
		if wld.setup.advice {
			ask["advice"] = map[string]any{"decision-ms": 20, "period-ms": 1, "valid-ms": ticketValidMS}
			routes[0].(map[string]any)["advice"] = ask["advice"]
		}
		routes = append(routes, ask)
	}
	wld.sit.Store.Put("op/config", map[string]any{
		"version": wld.version, "routes": routes, "services": []any{map[string]any{"name": "lots", "health-path": "/healthz", "rejects-overload": true, "standby": false}},
		"tenants": []any{map[string]any{"name": "t1", "api-keys": []string{"key1"}, "weight": 50, "cap": map[string]int64{}}},
		"limits":  map[string]any{"max-body-bytes": 262144},
	})
	wld.rec.note("the store acknowledges configuration %d, with the queue ask: %v", wld.version, with)
}

// ticketValidMS is how long a ticket is valid.
const ticketValidMS = 3000

func ticketOf(step, id string) string { return step + "/" + id }

// advise allows every step on every executor.
func advise(wri http.ResponseWriter, req *http.Request) {
	var query struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if json.NewDecoder(req.Body).Decode(&query) != nil {
		wri.WriteHeader(http.StatusBadRequest)
		return
	}
	rows := [][]string{}
	for _, id := range query.Workers {
		rows = append(rows, []string{id, ticketOf(query.Step, id)})
	}
	time.Sleep(20 * time.Millisecond)
	answer(wri, http.StatusOK, map[string]any{"allowed": rows, "valid-ms": ticketValidMS})
}

func (wld *world) started(id string, one *run, from string, token int64) {
	wld.mu.Lock()
	defer wld.mu.Unlock()
	wld.starts = append(wld.starts, &start{executor: id, task: one.task, run: one.number, at: one.began})
	wld.rec.note("%s starts %s run %d, by token %d from %s", id, one.task, one.number, token, from)
}

func (wld *world) ended(id string, one *run, how string) {
	wld.mu.Lock()
	defer wld.mu.Unlock()
	wld.rec.note("%s ends %s run %d: %s", id, one.task, one.number, how)
	if sta := wld.find(id, one); sta != nil {
		sta.end, sta.how = time.Now(), how
	}
}

func (wld *world) acked(id string, one end) {
	wld.mu.Lock()
	defer wld.mu.Unlock()
	wld.rec.note("the end of %s run %d at %s (%s) is taken note of", one.run.task, one.run.number, id, one.how)
	if sta := wld.find(id, one.run); sta != nil {
		sta.acked = time.Now()
	}
}

// find returns the start of a run. The lock must be held.
func (wld *world) find(id string, one *run) *start {
	i := slices.IndexFunc(wld.starts, func(sta *start) bool { return sta.executor == id && sta.task == one.task && sta.run == one.number })
	if i < 0 {
		return nil
	}
	return wld.starts[i]
}

// startsOf returns copies of the starts of a job's tasks.
func (wld *world) startsOf(id string) (all []start) {
	wld.mu.Lock()
	defer wld.mu.Unlock()
	for _, sta := range wld.starts {
		if strings.HasPrefix(sta.task, id+".") {
			all = append(all, *sta)
		}
	}
	return all
}

// living returns the machine of an executor that lives.
func (wld *world) living(id string) *executor {
	for _, exe := range wld.executors {
		exe.mu.Lock()
		found := exe.id == id && exe.state == "up"
		exe.mu.Unlock()
		if found {
			return exe
		}
	}
	return nil
}

// step is a step of a job. Tasks without a time last.
type step struct {
	count int
	cpu   int64
	time  time.Duration
	after []int
	// mayMiss is the budget of a step that lasts.
	mayMiss int
}

// call makes a client's call on a node and records it.
func (wld *world) call(nod *node, method, path, body string) (status int, text string) {
	req, err := http.NewRequest(method, "http://"+nod.front+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = "lots.example"
	req.Header.Set("Authorization", "Bearer key1")
	req.Header.Set("X-Deadline-Ms", "3000")
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	rsp, err := client.Do(req)
	if err != nil {
		wld.rec.note("client: %s %s at %s: no answer: %v", method, path, nod.name, err)
		return 0, err.Error()
	}
	defer func() { _ = rsp.Body.Close() }()
	raw := make([]byte, 400)
	n, _ := rsp.Body.Read(raw)
	wld.rec.note("client: %s %s at %s: %d %s", method, path, nod.name, rsp.StatusCode, raw[:n])
	return rsp.StatusCode, string(raw[:n])
}

var errRefused = errors.New("the job was not accepted")

// submit submits a job, with retries at other nodes.
func (wld *world) submit(queue, id string, steps ...step) (err error) {
	rows := []any{}
	for _, ste := range steps {
		row := map[string]any{"count": ste.count, "cpu": ste.cpu, "mem-mb": 64, "estimate-ms": ste.time.Milliseconds()}
		if len(ste.after) > 0 {
			row["after"] = ste.after
		}
		if ste.time == 0 {
			row["long-running"], row["estimate-ms"] = true, 900
			row["may-miss"] = ste.mayMiss
		}
		rows = append(rows, row)
	}
	spec := strconv.FormatInt(steps[0].time.Milliseconds(), 10) + " " + strconv.FormatInt(steps[0].cpu, 10)
	raw, err := json.Marshal(map[string]any{"spec": spec, "steps": rows})
	if err != nil {
		return err
	}
	for i := range 20 {
		if status, _ := wld.call(wld.nodes[i%len(wld.nodes)], http.MethodPost, "/"+queue+"/"+id, string(raw)); status == http.StatusOK {
			return nil
		}
		time.Sleep(250 * time.Millisecond)
	}
	return fmt.Errorf("%w: %s", errRefused, id)
}

// state returns the state of a job as a client sees it.
func (wld *world) state(queue, id string) (status int, state string) {
	status, text := wld.call(wld.nodes[0], http.MethodGet, "/"+queue+"/"+id, "")
	var ans struct {
		State string `json:"state"`
	}
	if err := json.Unmarshal([]byte(text), &ans); err != nil {
		return status, ""
	}
	return status, ans.State
}

func (wld *world) path(name string) string { return filepath.Join(wld.dir, name) }

// pending returns the number of jobs of a queue that haven't begun, as a node says.
func (wld *world) pending(nod *node, queue string) (count int, ok bool) {
	status, text := wld.call(nod, http.MethodGet, "/"+queue+"/", "")
	var ans struct {
		Pending *int `json:"pending"`
	}
	if err := json.Unmarshal([]byte(text), &ans); err != nil || status != http.StatusOK || ans.Pending == nil {
		return 0, false
	}
	return *ans.Pending, true
}

// holder returns the process that holds the duty, by its name in the store's record.
func (wld *world) holder() *node {
	raw := wld.sit.Store.Value("duty/holder")
	for _, nod := range wld.nodes {
		if bytes.Contains(raw, []byte(nod.name)) {
			return nod
		}
	}
	return nil
}
