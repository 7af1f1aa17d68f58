package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"
)

// upkeepTime is maintenance-s of the settings.
const upkeepTime = 2 * time.Second

// wave is a wave as an operator writes it.
type wave struct {
	Wave     int64    `json:"wave"`
	Machines []string `json:"machines"`
	Duration float64  `json:"duration-s"`
	Cap      int      `json:"cap"`
}

func waveKey(number int64) string { return fmt.Sprintf("op/wave/%d", number) }

// wave returns a wave as it stands in the store.
func (lab *lab) wave(number int64) (wav wave, ok bool) {
	raw := lab.store.value(waveKey(number))
	return wav, raw != nil && json.Unmarshal(raw, &wav) == nil
}

// serveMachines serves the list of machines and the orders for them. The cases have one
// pool, so that no machine moves.
func (lab *lab) serveMachines(wri http.ResponseWriter, req *http.Request) {
	switch req.URL.Path {
	case "/machines":
		lab.mu.Lock()
		defer lab.mu.Unlock()
		writeJSON(wri, http.StatusOK, map[string]any{"machines": lab.listMachines(), "next-token": ""})
	case "/machine-upkeep":
		var ord struct {
			Machine string `json:"machine"`
			Wave    int64  `json:"wave"`
		}
		if json.NewDecoder(req.Body).Decode(&ord) != nil {
			wri.WriteHeader(http.StatusBadRequest)
			return
		}
		status, reason := lab.upkeep(ord.Machine, ord.Wave)
		lab.note("upkeep of %s in wave %d by %s: %d %s", ord.Machine, ord.Wave, req.Header.Get("X-Duty-Holder"), status, reason)
		writeJSON(wri, status, map[string]string{"reason": reason})
	default:
		writeJSON(wri, http.StatusConflict, map[string]string{"reason": "busy"})
	}
}

func (lab *lab) listMachines() (list []map[string]any) {
	for _, exe := range lab.executors {
		row := map[string]any{
			"machine": exe.machine, "pool": exe.pool, "state": "up", "zone": exe.zone, "labels": exe.labels,
			"capacity": size{CPU: capacityCPU, Mem: capacityMem}, "id": exe.id,
		}
		switch {
		case !exe.upkeepUntil.IsZero():
			row["state"], row["id"] = "upkeep", ""
		case !exe.up:
			row["state"], row["id"] = "down", ""
		}
		list = append(list, row)
	}
	return list
}

// upkeep begins the upkeep of a machine, unless it has begun in this wave.
func (lab *lab) upkeep(machine string, number int64) (status int, reason string) {
	wav, ok := lab.wave(number)
	lab.mu.Lock()
	defer lab.mu.Unlock()
	i := slices.IndexFunc(lab.executors, func(exe *executor) bool { return exe.machine == machine })
	if i < 0 {
		return http.StatusBadRequest, ""
	}
	exe := lab.executors[i]
	switch {
	case !ok || !slices.Contains(wav.Machines, machine):
		return http.StatusConflict, "wave"
	case exe.begun[number]:
		return http.StatusOK, ""
	case !exe.up || !exe.upkeepUntil.IsZero():
		return http.StatusConflict, "busy"
	}
	exe.begun[number], exe.upkeepUntil = true, time.Now().Add(upkeepTime)
	exe.crash()
	time.AfterFunc(3*heartbeat, func() { lab.store.erase("servers/" + exe.id) })
	return http.StatusOK, ""
}

// noteWave notes what a wave requests and its status, which it returns.
func (lab *lab) noteWave(number int64) (wav wave, status string) {
	status = string(lab.store.value(fmt.Sprintf("status/wave/%d", number)))
	wav, _ = lab.wave(number)
	lab.note("wave %d is for %v, its status is %s", number, wav.Machines, status)
	return wav, status
}

// checkWave finds machines of a wave that is said to be completed whose upkeep hasn't begun.
func (lab *lab) checkWave(number int64) {
	wav, status := lab.noteWave(number)
	var ans struct {
		State string `json:"state"`
	}
	if json.Unmarshal([]byte(status), &ans) != nil || ans.State != "completed" {
		return
	}
	lab.mu.Lock()
	defer lab.mu.Unlock()
	for _, exe := range lab.executors {
		if slices.Contains(wav.Machines, exe.machine) && !exe.begun[number] {
			lab.breach("wave %d is said to be completed, and the upkeep of %s hasn't begun", number, exe.machine)
		}
	}
}

// racingOperators has two operators write the same wave, one shortly after the other.
func (lab *lab) racingOperators() error {
	if err := lab.setUp(8, 3); err != nil {
		return err
	}
	const number = 1
	first := wave{Wave: number, Machines: []string{"m-0", "m-1"}, Duration: 28, Cap: 1}
	second := wave{Wave: number, Machines: []string{"m-1", "m-2", "m-3"}, Duration: 28, Cap: 1}
	if lab.trouble {
		lab.note("one operator writes wave %d: %+v", number, first)
		lab.store.write(waveKey(number), first)
		time.Sleep(raceGap)
	}
	lab.note("an operator writes wave %d: %+v", number, second)
	lab.store.write(waveKey(number), second)
	for end := time.Now().Add(time.Duration(second.Duration+10) * time.Second); time.Now().Before(end); time.Sleep(2 * time.Second) {
		_, _ = lab.noteWave(number)
	}
	lab.checkWave(number)
	return nil
}

// raceGap is the time between the writes of two operators who race each other.
const raceGap = 500 * time.Millisecond
