package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/standin/site"
)

func init() { cases["14"] = waveOfNewMachines }

// machinesFront stands before the platform's list of machines and leaves out those that have
// not been added yet.
type machinesFront struct {
	target  string
	address string
	// listTime is how long the platform takes for an answer with the list.
	listTime time.Duration

	mu     sync.Mutex
	hidden []string
	// listedAt is when the list was last read.
	listedAt time.Time
	// onOrder is called with the orders for machines; nil if nobody listens.
	onOrder func(path, holder, token, machine string, status int)
}

func newMachinesFront(target string) (fro *machinesFront, err error) {
	fro = &machinesFront{target: target}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	fro.address = lis.Addr().String()
	srv := &http.Server{Handler: fro, ReadHeaderTimeout: time.Second}
	go func() { _ = srv.Serve(lis) }()
	return fro, nil
}

// ServeHTTP passes a call on.
func (fro *machinesFront) ServeHTTP(wri http.ResponseWriter, req *http.Request) {
	raw, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	status, answer, err := fro.pass(req, raw)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if req.Method == http.MethodPost {
		fro.noteOrder(req, raw, status)
	} else {
		answer = fro.list(answer)
		time.Sleep(fro.listTime)
	}
	wri.Header().Set("Content-Type", "application/json")
	wri.WriteHeader(status)
	// An error means that the caller has disconnected.
	_, _ = wri.Write(answer)
}

// pass makes the call to the stand-in.
func (fro *machinesFront) pass(req *http.Request, raw []byte) (status int, answer []byte, err error) {
	onward, err := http.NewRequestWithContext(req.Context(), req.Method, "http://"+fro.target+req.URL.RequestURI(), bytes.NewReader(raw))
	if err != nil {
		return 0, nil, err
	}
	onward.Header = req.Header.Clone()
	rsp, err := http.DefaultClient.Do(onward)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = rsp.Body.Close() }()
	answer, err = io.ReadAll(rsp.Body)
	return rsp.StatusCode, answer, err
}

func (fro *machinesFront) noteOrder(req *http.Request, raw []byte, status int) {
	var body struct {
		Machine string `json:"machine"`
	}
	if json.Unmarshal(raw, &body) != nil || fro.onOrder == nil {
		return
	}
	fro.onOrder(req.URL.Path, req.Header.Get("X-Duty-Holder"), req.Header.Get("X-Fencing-Token"), body.Machine, status)
}

// list leaves out the machines that have not been added.
func (fro *machinesFront) list(answer []byte) []byte {
	fro.mu.Lock()
	defer fro.mu.Unlock()
	fro.listedAt = time.Now()
	var body map[string]any
	if json.Unmarshal(answer, &body) != nil {
		return answer
	}
	rows, _ := body["machines"].([]any)
	body["machines"] = slices.DeleteFunc(rows, func(row any) bool {
		mac, _ := row.(map[string]any)
		name, _ := mac["machine"].(string)
		return slices.Contains(fro.hidden, name)
	})
	raw, err := json.Marshal(body)
	if err != nil {
		return answer
	}
	return raw
}

func (fro *machinesFront) setHidden(names ...string) {
	fro.mu.Lock()
	defer fro.mu.Unlock()
	fro.hidden = names
}

func (fro *machinesFront) lastListed() time.Time {
	fro.mu.Lock()
	defer fro.mu.Unlock()
	return fro.listedAt
}

// idleListGap is the least time between two lists while nothing is expected to change.
const idleListGap = 9 * time.Second

// awaitIdleList waits until a list is read that long after the one before.
func (fro *machinesFront) awaitIdleList() error {
	listed := fro.lastListed()
	for end := time.Now().Add(40 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		last := fro.lastListed()
		if last.Sub(listed) > idleListGap {
			return nil
		}
		listed = last
	}
	return errors.New("the list of machines was not read again")
}

// Times of the new machines. A list is read every 10 s while nothing is expected to change.
const (
	listTime     = 100 * time.Millisecond
	addAfterList = time.Second
	waveAfterAdd = 2 * time.Second
	waveDuration = 26 * time.Second
)

// waveOfNewMachines adds two machines to the standby pool of eight, and requests a wave of upkeep for
// them two seconds later.
func waveOfNewMachines(sce *scene) (broken bool, err error) {
	pools := []site.Pool{{Name: "lots", Workers: 6}, {Name: "spare", Workers: 10, Standby: true}}
	sce.sit, err = site.Start(site.Options{Pools: pools, TaskDuration: time.Second, Observer: sce})
	if err != nil {
		return false, err
	}
	sce.sit.Configure(site.Config{
		Version: 1, RejectsOverload: true, Pools: pools, Accounts: []site.Account{{Name: "team", Keys: []string{tenantKey}, Weight: 10}},
		Queues: []site.Queue{{Name: "gate", Prefix: "/gate/", Pool: "lots", Attempts: maxAttempts}},
	})
	fro, err := newMachinesFront(sce.sit.MachinesAddress)
	if err != nil {
		return false, err
	}
	fro.listTime = listTime
	sce.sit.MachinesAddress = fro.address
	fro.onOrder = func(path, holder, token, machine string, status int) {
		sce.note("%s with token %s: POST %s for %s -> %d", holder, token, path, machine, status)
	}
	added := []string{sce.sit.Workers[14].MachineName(), sce.sit.Workers[15].MachineName()}
	if sce.trouble {
		fro.setHidden(added...)
	}
	if _, err := sce.startNodes(3); err != nil {
		return false, err
	}
	if err := fro.awaitIdleList(); err != nil {
		return false, err
	}
	sce.note("the list of machines was read")
	time.Sleep(addAfterList)
	fro.setHidden()
	sce.note("machines %v are in the standby pool", added)
	time.Sleep(waveAfterAdd)
	sce.sit.RequestWave(1, added, waveDuration, 1)
	sce.note("operator: wave 1 for %v, one at once, in %v", added, waveDuration)
	last := ""
	for end := time.Now().Add(waveDuration + 4*time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		status, begun := sce.sit.WaveStatus(1), sce.sit.UpkeepsBegun()
		if status != last {
			last = status
			sce.note("operator: status/wave/1 is %q; upkeeps begun: %d of %d", status, begun, len(added))
		}
		if status == "completed" && begun < len(added) {
			broken = true
		}
	}
	sce.note("at the end: status %q, upkeeps begun: %d of %d", sce.sit.WaveStatus(1), sce.sit.UpkeepsBegun(), len(added))
	return broken, nil
}
