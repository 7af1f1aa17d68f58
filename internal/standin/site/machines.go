package site

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// How long machines are away.
const (
	moveTime   = 1500 * time.Millisecond
	upkeepTime = 2 * time.Second
)

// serveMachines serves the list of machines and the orders for them.
func (sit *Site) serveMachines(wri http.ResponseWriter, req *http.Request) {
	if req.Method == http.MethodGet {
		rows := []map[string]any{}
		for _, wor := range sit.Workers {
			rows = append(rows, wor.row())
		}
		answer(wri, http.StatusOK, map[string]any{"machines": rows, "next-token": nil})
		return
	}
	var ord struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
		Wave    int64  `json:"wave"`
	}
	token, err := strconv.ParseInt(req.Header.Get("X-Fencing-Token"), 10, 64)
	if json.NewDecoder(req.Body).Decode(&ord) != nil || err != nil {
		wri.WriteHeader(http.StatusBadRequest)
		return
	}
	at := slices.IndexFunc(sit.Workers, func(wor *Worker) bool { return wor.MachineName() == ord.Machine })
	if at < 0 {
		wri.WriteHeader(http.StatusBadRequest)
		return
	}
	wor := sit.Workers[at]
	wor.checkToken(token, req.Header.Get("X-Duty-Holder"))
	reason := ""
	switch req.URL.Path {
	case "/machine-move":
		reason = wor.move(ord.Pool)
	case "/machine-upkeep":
		reason = sit.upkeep(wor, ord.Wave)
	default:
		wri.WriteHeader(http.StatusNotFound)
		return
	}
	if reason != "" {
		answer(wri, http.StatusConflict, map[string]string{"reason": reason})
		return
	}
	answer(wri, http.StatusOK, struct{}{})
}

func (wor *Worker) row() map[string]any {
	wor.mu.Lock()
	defer wor.mu.Unlock()
	return map[string]any{
		"machine": wor.MachineName(), "pool": wor.pool, "state": wor.state, "zone": wor.zone(),
		"labels": []string{"a", wor.rack()}, "id": wor.id,
		"capacity": map[string]int64{"cpu": workerCPU, "mem-mb": workerMemory, "gpu": 0},
	}
}

// checkToken checks that the orders for a machine come from one holder after the
// other.
func (wor *Worker) checkToken(token int64, holder string) {
	wor.mu.Lock()
	defer wor.mu.Unlock()
	if token < wor.token {
		wor.sit.broken("%s orders for %s with token %d after token %d", holder, wor.MachineName(), token, wor.token)
	}
	wor.token = max(wor.token, token)
}

// move moves the machine to a pool. The reason is empty if it does.
func (wor *Worker) move(pool string) (reason string) {
	wor.mu.Lock()
	state, at := wor.state, wor.pool
	wor.mu.Unlock()
	switch {
	case at == pool:
		return ""
	case state != machineUp:
		return "busy"
	}
	wor.end(machineMoving, moveTime, pool)
	return ""
}

// upkeep begins the upkeep of a machine for a wave.
func (sit *Site) upkeep(wor *Worker, number int64) (reason string) {
	var wav struct {
		Machines []string `json:"machines"`
		Cap      int      `json:"cap"`
	}
	if raw := sit.Store.Value(fmt.Sprintf("op/wave/%d", number)); raw == nil || json.Unmarshal(raw, &wav) != nil || !slices.Contains(wav.Machines, wor.MachineName()) {
		return "wave"
	}
	wor.mu.Lock()
	served, state := wor.served[number], wor.state
	wor.mu.Unlock()
	switch {
	case served:
		return ""
	case state != machineUp:
		return "busy"
	}
	down := 0
	for _, oth := range sit.Workers {
		oth.mu.Lock()
		if oth.state == machineUpkeep && oth.wave == number {
			down++
		}
		oth.mu.Unlock()
	}
	if down >= wav.Cap {
		sit.broken("upkeep of %s begins while %d machines of wave %d are down", wor.MachineName(), down, number)
	}
	wor.mu.Lock()
	wor.served[number], wor.wave = true, number
	wor.mu.Unlock()
	wor.end(machineUpkeep, upkeepTime, "")
	return ""
}
