package site

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
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
			if !wor.isLost() {
				rows = append(rows, wor.listItem())
			}
		}
		sit.mu.Lock()
		delay := sit.listDelay
		sit.mu.Unlock()
		time.Sleep(delay)
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
	index := slices.IndexFunc(sit.Workers, func(wor *Worker) bool { return wor.MachineName() == ord.MachineName && !wor.isLost() })
	if index < 0 {
		wri.WriteHeader(http.StatusBadRequest)
		return
	}
	wor := sit.Workers[index]
	wor.checkToken(token, req.Header.Get("X-Duty-Holder"))
	defer sit.delayMachineOrder()()
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
	sit.mu.Lock()
	lost := sit.machineAnswersLost
	sit.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	if reason != "" {
		writeJSON(wri, http.StatusConflict, map[string]string{"reason": reason})
		return
	}
	writeJSON(wri, http.StatusOK, struct{}{})
}

// SetListDelay starts a fault in which a list of machines is answered only some time
// after it was read, or ends it with 0.
func (sit *Site) SetListDelay(delay time.Duration) {
	sit.mu.Lock()
	defer sit.mu.Unlock()
	sit.listDelay = delay
}

// SetMachineOrderDelay starts a fault in which an order for a machine is carried out only
// some time after it has arrived, or ends it with 0.
func (sit *Site) SetMachineOrderDelay(delay time.Duration) {
	sit.mu.Lock()
	defer sit.mu.Unlock()
	sit.machineOrderDelay = delay
}

// MachineOrdersUnderWay returns the number of orders for machines that have arrived and are
// not answered.
func (sit *Site) MachineOrdersUnderWay() int {
	sit.mu.Lock()
	defer sit.mu.Unlock()
	return sit.machineOrdersUnderWay
}

// delayMachineOrder waits as long as the platform takes to carry out an order for a machine.
// The result ends the order.
func (sit *Site) delayMachineOrder() (end func()) {
	add := func(n int) time.Duration {
		sit.mu.Lock()
		defer sit.mu.Unlock()
		sit.machineOrdersUnderWay += n
		return sit.machineOrderDelay
	}
	time.Sleep(add(1))
	return func() { add(-1) }
}

// SetMachineAnswersLost starts or ends a fault in which orders for machines are
// carried out and their connections closed without an answer.
func (sit *Site) SetMachineAnswersLost(lost bool) {
	sit.mu.Lock()
	defer sit.mu.Unlock()
	sit.machineAnswersLost = lost
}

// listItem returns the machine as the list of machines shows it. One that isn't up has no
// VM, whether the next one will have the ID of the last or not.
func (wor *Worker) listItem() map[string]any {
	wor.mu.Lock()
	defer wor.mu.Unlock()
	id := ""
	if wor.state == machineUp {
		id = wor.id
	}
	return map[string]any{
		"machine": wor.MachineName(), "pool": wor.pool, "state": wor.state, "zone": wor.zone(),
		"labels": []string{"a", wor.rack()}, "id": id,
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
	wav, ok := decodeWave(sit.Store.item(waveKey(number)))
	if !ok || !slices.Contains(wav.Machines, wor.MachineName()) {
		return "wave"
	}
	wor.mu.Lock()
	begun, state := wor.begun[wav.created], wor.state
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
	wor.begun[wav.created], wor.lastWave = true, number
	wor.mu.Unlock()
	wor.endIncarnation(machineUpkeep, upkeepTime, "", false)
	return ""
}

// UpkeepsBegun returns how many upkeeps have begun.
func (sit *Site) UpkeepsBegun() (count int) {
	for _, wor := range sit.Workers {
		wor.mu.Lock()
		count += len(wor.begun)
		wor.mu.Unlock()
	}
	return count
}

// wave is a wave as the operator requests it.
type wave struct {
	Machines []string `json:"machines"`
	Cap      int      `json:"cap"`
	// created is the revision at which the wave was requested. One that is withdrawn and
	// requested again under its number is another wave.
	created int64
}

// wavePrefix is the prefix of the keys under which the operator requests waves.
const wavePrefix = "op/wave/"

func waveKey(number int64) string { return fmt.Sprintf("%s%d", wavePrefix, number) }

// decodeWave returns the wave that the operator requested with an item.
func decodeWave(itm item) (wav wave, ok bool) {
	wav.created = itm.Created
	return wav, itm.Revision != 0 && json.Unmarshal(itm.Value, &wav) == nil
}

// decodeWaveStatus returns the state in the status of a wave, or "".
func decodeWaveStatus(raw []byte) string {
	var status struct {
		State string `json:"state"`
	}
	if json.Unmarshal(raw, &status) != nil {
		return ""
	}
	return status.State
}

// waveStatusPrefix is the prefix of the keys under which the state of a wave is
// written.
const waveStatusPrefix = "status/wave/"

// waveOfStatus returns the key of the wave of which a key holds the status.
func waveOfStatus(key string) (wave string, ok bool) {
	number, isStatus := strings.CutPrefix(key, waveStatusPrefix)
	one, err := strconv.ParseInt(number, 10, 64)
	return waveKey(one), isStatus && err == nil
}

// CheckWaves reports a violation for each wave that is said to be completed in which the
// upkeep of a machine has not begun.
func (sit *Site) CheckWaves() {
	for _, requested := range sit.Store.withPrefix(wavePrefix) {
		number := strings.TrimPrefix(requested.Key, wavePrefix)
		sit.checkWave(sit.Store.Value(waveStatusPrefix+number), requested)
	}
}

// checkWave reports a violation if a value says that a wave, as it was requested when
// the value was written, is completed in which the upkeep of a machine has not begun.
func (sit *Site) checkWave(value []byte, requested item) {
	wav, ok := decodeWave(requested)
	if !ok || decodeWaveStatus(value) != "completed" {
		return
	}
	for _, wor := range sit.Workers {
		wor.mu.Lock()
		// A machine that is lost can't have its upkeep.
		begun := wor.begun[wav.created] || wor.lost
		wor.mu.Unlock()
		number := strings.TrimPrefix(requested.Key, wavePrefix)
		if !begun && slices.Contains(wav.Machines, wor.MachineName()) {
			sit.reportViolation("wave %s is reported as completed, but the upkeep of %s has not begun", number, wor.MachineName())
		}
	}
}
