package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Times that a machine takes, as in the settings of the processes.
const (
	migrateTime     = 1500 * time.Millisecond
	maintenanceTime = 2 * time.Second
)

// cloud is the platform's list of machines. It follows the page PROTOCOL.md,
// "Machines".
type cloud struct {
	wld     *world
	address string

	mu sync.Mutex
	// mute is set while calls are carried out and get no answer.
	mute bool
	// slow is how long answers take.
	slow time.Duration
	// onList is called when a list has been read, before it is answered; nil if
	// nothing is to be done.
	onList func()
	// back is set if machines come back from upkeep only by the play.
	back bool
	// waves holds the waves that were asked for, begun the upkeeps that have begun.
	waves  map[int64]wave
	begun  map[string]bool
	broken []string
	// tokens holds, by machine, the highest token of an order.
	tokens map[string]int64
	// stale lists the orders with a lower token after a higher one.
	stale []string
}

// wave is what the operator asks for.
type wave struct {
	Wave      int64    `json:"wave"`
	Machines  []string `json:"machines"`
	DurationS float64  `json:"duration-s"`
	Cap       int      `json:"cap"`
}

// ask writes a wave to the store.
func (clo *cloud) ask(wav wave) {
	clo.mu.Lock()
	defer clo.mu.Unlock()
	clo.waves[wav.Wave] = wav
	clo.wld.sit.Store.Put(fmt.Sprintf("op/wave/%d", wav.Wave), wav)
	clo.wld.rec.note("the store acknowledges wave %d of %v, cap %d", wav.Wave, wav.Machines, wav.Cap)
}

func (clo *cloud) setMute(mute bool) {
	clo.mu.Lock()
	defer clo.mu.Unlock()
	clo.mute = mute
	clo.wld.rec.note("calls to the list of machines are carried out and not answered: %v", mute)
}

// ServeHTTP serves the list and the orders.
func (clo *cloud) ServeHTTP(wri http.ResponseWriter, req *http.Request) {
	status, body := http.StatusNotFound, any(map[string]any{})
	switch req.URL.Path {
	case "/machines":
		rows := []any{}
		for _, exe := range clo.wld.executors {
			rows = append(rows, exe.row())
		}
		status, body = http.StatusOK, map[string]any{"machines": rows, "next-token": nil}
		clo.listed()
	case "/machine-move", "/machine-upkeep":
		status, body = clo.carryOut(req)
	}
	clo.mu.Lock()
	mute, slow := clo.mute, clo.slow
	clo.mu.Unlock()
	time.Sleep(max(slow, 4*time.Millisecond))
	if mute {
		panic(http.ErrAbortHandler)
	}
	answer(wri, status, body)
}

// listed calls onList.
func (clo *cloud) listed() {
	clo.mu.Lock()
	onList := clo.onList
	clo.mu.Unlock()
	if onList != nil {
		onList()
	}
}

// carryOut carries out an order.
func (clo *cloud) carryOut(req *http.Request) (status int, body any) {
	var ord struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
		Wave    int64  `json:"wave"`
	}
	if err := json.NewDecoder(req.Body).Decode(&ord); err != nil {
		return http.StatusBadRequest, map[string]any{}
	}
	clo.mu.Lock()
	defer clo.mu.Unlock()
	clo.wld.rec.note("order by %s with token %s: %s %+v", req.Header.Get("X-Duty-Holder"), req.Header.Get("X-Fencing-Token"), req.URL.Path, ord)
	token, err := strconv.ParseInt(req.Header.Get("X-Fencing-Token"), 10, 64)
	if err != nil {
		return http.StatusBadRequest, map[string]any{}
	}
	if token < clo.tokens[ord.Machine] {
		clo.stale = append(clo.stale, fmt.Sprintf("ONE: %s orders %s of %s with token %d after an order with token %d", req.Header.Get("X-Duty-Holder"), req.URL.Path, ord.Machine, token, clo.tokens[ord.Machine]))
	}
	clo.tokens[ord.Machine] = max(clo.tokens[ord.Machine], token)
	i := slices.IndexFunc(clo.wld.executors, func(exe *executor) bool { return exe.machine() == ord.Machine })
	if i < 0 {
		return http.StatusBadRequest, map[string]any{}
	}
	exe := clo.wld.executors[i]
	row := exe.row()
	if req.URL.Path == "/machine-move" {
		if row["pool"] == ord.Pool {
			return http.StatusOK, map[string]any{}
		}
		if row["state"] != "up" {
			return http.StatusConflict, map[string]any{"reason": "busy"}
		}
		exe.die("moving", ord.Pool, migrateTime)
		return http.StatusOK, map[string]any{}
	}
	wav, key := clo.waves[ord.Wave], fmt.Sprintf("%d %s", ord.Wave, ord.Machine)
	switch {
	case !slices.Contains(wav.Machines, ord.Machine):
		return http.StatusConflict, map[string]any{"reason": "wave"}
	case clo.begun[key]:
		return http.StatusOK, map[string]any{}
	case row["state"] != "up":
		return http.StatusConflict, map[string]any{"reason": "busy"}
	}
	down := []string{}
	for _, oth := range clo.wld.executors {
		if one := oth.row(); slices.Contains(wav.Machines, oth.machine()) && one["state"] == "upkeep" {
			down = append(down, oth.machine())
		}
	}
	clo.wld.rec.note("the upkeep of %s begins while %v of wave %d are down", ord.Machine, down, ord.Wave)
	if len(down) >= wav.Cap {
		clo.broken = append(clo.broken, fmt.Sprintf("LIMIT: the upkeep of %s begins while %v are down for theirs, the cap of wave %d is %d", ord.Machine, down, ord.Wave, wav.Cap))
	}
	clo.begun[key] = true
	pause := maintenanceTime
	if clo.back {
		pause = 0
	}
	exe.die("upkeep", "", pause)
	return http.StatusOK, map[string]any{}
}
