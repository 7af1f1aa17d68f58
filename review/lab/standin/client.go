package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// job is a job as a client submits it.
type job struct {
	ID       string `json:"-"`
	Spec     string `json:"spec"`
	Steps    []step `json:"steps"`
	Repeat   int    `json:"repeat-count,omitempty"`
	StartAt  int64  `json:"start-at-ms,omitempty"`
	Interval int64  `json:"interval-ms,omitempty"`
}

type step struct {
	Count        int    `json:"count"`
	CPU          int64  `json:"cpu"`
	Mem          int64  `json:"mem-mb"`
	Estimate     int64  `json:"estimate-ms"`
	After        []int  `json:"after,omitempty"`
	Label        string `json:"required-label,omitempty"`
	MaxPerServer int    `json:"max-per-server,omitempty"`
	Lasting      bool   `json:"long-running,omitempty"`
	Gang         bool   `json:"gang,omitempty"`
}

const (
	host       = "gates.example"
	prefix     = "/gate/"
	service    = "lot-ops"
	apiKey     = "key-of-tenant-1"
	deadline   = 3 * time.Second
	deadlineMS = "3000"
	attempts   = 4
)

// configure writes the first configuration.
func (lab *lab) configure(version int) {
	lab.store.write("op/config", map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "gate", "host": host, "prefix": prefix, "service": service, "timeout-ms": 3000, "priority": 0,
			"max-attempts": attempts, "slack-factor": 3, "target-duration-ms": 600,
		}},
		"services": []map[string]any{{"name": service, "rejects-overload": true}},
		"tenants":  []map[string]any{{"name": "tenant-1", "api-keys": []string{apiKey}, "weight": 50, "cap": size{}}},
		"limits":   map[string]any{},
	})
}

var client = &http.Client{Timeout: deadline + 500*time.Millisecond, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// call makes a call about a job. The status is 0 if there was no answer.
func (lab *lab) call(nod *node, method, id string, body []byte) (status int, text string) {
	req, err := http.NewRequest(method, "http://"+nod.callers+prefix+id, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host = host
	req.Header.Set("Authorization", "Bearer "+apiKey)
	req.Header.Set("X-Deadline-Ms", deadlineMS)
	rsp, err := client.Do(req)
	if err != nil {
		lab.note("client: %s %s at %s: no answer: %v", method, id, nod.name, err)
		return 0, ""
	}
	defer func() { _ = rsp.Body.Close() }()
	raw, _ := io.ReadAll(rsp.Body)
	lab.note("client: %s %s at %s: %d %s", method, id, nod.name, rsp.StatusCode, raw)
	return rsp.StatusCode, string(raw)
}

// submit sends a job once and returns the status.
func (lab *lab) submit(nod *node, jb *job) (status int) {
	lab.mu.Lock()
	lab.jobs[jb.ID] = jb
	lab.mu.Unlock()
	raw, err := json.Marshal(jb)
	if err != nil {
		panic(err)
	}
	status, _ = lab.call(nod, http.MethodPost, jb.ID, raw)
	return status
}

// state returns the state of a job; empty if it isn't known.
func (lab *lab) state(nod *node, id string) (status int, state string) {
	status, text := lab.call(nod, http.MethodGet, id, nil)
	var ans struct {
		State string `json:"state"`
	}
	if status == http.StatusOK && json.Unmarshal([]byte(text), &ans) != nil {
		return status, "unreadable"
	}
	return status, ans.State
}

func jobID(num int) string { return fmt.Sprintf("%016x", 0xa100000000000000+uint64(num)) }
