package site

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// Time that a machine is unavailable during a move between pools and during
// upkeep.
const (
	moveTime   = 1500 * time.Millisecond
	upkeepTime = 2 * time.Second
)

// serveMachines serves the list of machines and the orders to move or maintain
// one of them.
func (sit *Site) serveMachines(wri http.ResponseWriter, req *http.Request) {
	if req.Method == http.MethodGet {
		rows := []map[string]any{}
		for _, wor := range sit.Workers {
			rows = append(rows, wor.listItem())
		}
		writeJSON(wri, http.StatusOK, map[string]any{"machines": rows, "next-token": nil})
		return
	}
	var ord struct {
		MachineName string `json:"machine"`
		Pool        string `json:"pool"`
		Wave        int64  `json:"wave"`
	}
	token, err := strconv.ParseInt(req.Header.Get("X-Fencing-Token"), 10, 64)
	if json.NewDecoder(req.Body).Decode(&ord) != nil || err != nil {
		wri.WriteHeader(http.StatusBadRequest)
		return
	}
	index := slices.IndexFunc(sit.Workers, func(wor *Worker) bool { return wor.MachineName() == ord.MachineName })
	if index < 0 {
		wri.WriteHeader(http.StatusBadRequest)
		return
	}
	wor := sit.Workers[index]
	wor.checkToken(token, req.Header.Get("X-Duty-Holder"))
	reason := ""
	switch req.URL.Path {
	case "/machine-move":
		reason = wor.move(ord.Pool)
	case "/machine-upkeep":
		reason = sit.startUpkeep(wor, ord.Wave)
	default:
		wri.WriteHeader(http.StatusNotFound)
		return
	}
	if reason != "" {
		writeJSON(wri, http.StatusConflict, map[string]string{"reason": reason})
		return
	}
	writeJSON(wri, http.StatusOK, struct{}{})
}

// listItem returns the machine as the list of machines shows it.
func (wor *Worker) listItem() map[string]any {
	wor.mu.Lock()
	defer wor.mu.Unlock()
	return map[string]any{
		"machine": wor.MachineName(), "pool": wor.pool, "state": wor.state, "zone": wor.zone(),
		"labels": []string{"a", wor.rack()}, "id": wor.id,
		"capacity": map[string]int64{"cpu": workerMillicores, "mem-mb": workerMemoryMB, "gpu": 0},
	}
}

// checkToken reports a violation if an order for the machine carries an older
// fencing token than an earlier one: its sender no longer holds the duty.
func (wor *Worker) checkToken(token int64, holder string) {
	wor.mu.Lock()
	defer wor.mu.Unlock()
	if token < wor.machineToken {
		wor.sit.reportViolation("%s sent an order for %s with token %d after token %d", holder, wor.MachineName(), token, wor.machineToken)
	}
	wor.machineToken = max(wor.machineToken, token)
}

// move starts to move the machine to a pool, unless it is there already. A
// refusal returns its reason, otherwise the reason is empty.
func (wor *Worker) move(pool string) (reason string) {
	wor.mu.Lock()
	state, current := wor.state, wor.pool
	wor.mu.Unlock()
	switch {
	case current == pool:
		return ""
	case state != machineUp:
		return "busy"
	}
	wor.endIncarnation(machineMoving, moveTime, pool, false)
	return ""
}

// startUpkeep starts the upkeep of a machine for a wave, unless it has had its
// turn in this wave. It returns the reason of a refusal, or "". Upkeep beyond the
// wave's cap is carried out and reported as a violation.
func (sit *Site) startUpkeep(wor *Worker, number int64) (reason string) {
	var wav struct {
		Machines []string `json:"machines"`
		Cap      int      `json:"cap"`
	}
	if raw := sit.Store.Value(fmt.Sprintf("op/wave/%d", number)); raw == nil || json.Unmarshal(raw, &wav) != nil || !slices.Contains(wav.Machines, wor.MachineName()) {
		return "wave"
	}
	wor.mu.Lock()
	begun, state := wor.begun[number], wor.state
	wor.mu.Unlock()
	switch {
	case begun:
		return ""
	case state != machineUp:
		return "busy"
	}
	down := 0
	for _, oth := range sit.Workers {
		oth.mu.Lock()
		if oth.state == machineUpkeep && oth.lastWave == number {
			down++
		}
		oth.mu.Unlock()
	}
	if down >= wav.Cap {
		sit.reportViolation("upkeep of %s starts while %d machines of wave %d are down", wor.MachineName(), down, number)
	}
	wor.mu.Lock()
	wor.begun[number], wor.lastWave = true, number
	wor.mu.Unlock()
	wor.endIncarnation(machineUpkeep, upkeepTime, "", false)
	return ""
}
