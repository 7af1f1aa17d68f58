package site

import (
	"encoding/json"
	"fmt"
	"time"
)

// Config is a configuration as the operators write it to the store.
type Config struct {
	Version int
	Queues  []Queue
	Pools   []Pool
	// RejectsOverload declares that the VMs reject tasks that exceed their free
	// capacity.
	RejectsOverload bool
	Accounts        []Account
}

// Queue is a queue of jobs for a pool.
type Queue struct {
	Name   string
	Prefix string
	Pool   string
	// Attempts is the number of failed runs after which a task fails.
	Attempts int
	// Public queues accept jobs without an API key.
	Public bool
	// DecisionTime is the time the advisor takes to decide on a step. Queues that
	// need no advice have 0.
	DecisionTime time.Duration
}

// Account is a client account.
type Account struct {
	Name   string
	Keys   []string
	Weight int
	// CPUCap is the account's cap, in millicores; 0 means no cap.
	CPUCap int64
}

// Host is the host name of all queues.
const Host = "lots.example"

// Settings shared by all queues.
const (
	callTimeoutMS  = 3000
	jobTargetMS    = 600
	jobSlackFactor = 1.6
)

// Configure writes a configuration to the store.
func (sit *Site) Configure(cfg Config) {
	routes, services, tenants := []any{}, []any{}, []any{}
	for _, que := range cfg.Queues {
		route := map[string]any{
			"name": que.Name, "host": Host, "prefix": que.Prefix, "kind": "non_idempotent", "timeout-ms": callTimeoutMS,
			"target-duration-ms": jobTargetMS, "priority": 0, "service": que.Pool, "max-attempts": que.Attempts,
			"slack-factor": jobSlackFactor, "public": que.Public,
		}
		if que.DecisionTime > 0 {
			route["advice"] = map[string]any{"decision-ms": que.DecisionTime.Milliseconds(), "period-ms": 0, "valid-ms": ticketValidMS}
		}
		routes = append(routes, route)
	}
	for _, poo := range cfg.Pools {
		services = append(services, map[string]any{
			"name": poo.Name, "health-path": "/healthz", "rejects-overload": cfg.RejectsOverload, "standby": poo.Standby,
		})
	}
	for _, acc := range cfg.Accounts {
		tenants = append(tenants, map[string]any{
			"name": acc.Name, "api-keys": acc.Keys, "weight": acc.Weight, "cap": map[string]int64{"cpu": acc.CPUCap},
		})
	}
	sit.Store.Put("op/config", map[string]any{"version": cfg.Version, "routes": routes, "services": services, "tenants": tenants})
}

// SetZoneOut takes an availability zone out of service or returns it to service.
func (sit *Site) SetZoneOut(zone string, out bool) {
	key := "op/evacuate/" + zone
	if out {
		sit.Store.Put(key, map[string]any{})
	} else {
		sit.Store.Delete(key)
	}
}

// RequestWave requests a wave: the upkeep of machines within a duration, with at
// most maxDown of them down at the same time.
func (sit *Site) RequestWave(number int, machines []string, duration time.Duration, maxDown int) {
	sit.Store.Put(waveKey(int64(number)), map[string]any{
		"wave": number, "machines": machines, "duration-s": duration.Seconds(), "cap": maxDown,
	})
}

// WithdrawWave withdraws a wave.
func (sit *Site) WithdrawWave(number int) { sit.Store.Delete(waveKey(int64(number))) }

// WaveStatus returns the state of a wave as the processes have written it, or "".
func (sit *Site) WaveStatus(number int) string {
	return decodeWaveStatus(sit.Store.Value(fmt.Sprintf("%s%d", waveStatusPrefix, number)))
}

// Step is a step of a job.
type Step struct {
	// Count is the number of tasks.
	Count int
	// CPU is what each task reserves, in millicores.
	CPU int64
	// Estimate is the expected duration of a task.
	Estimate time.Duration
	// After holds the indexes of the steps that must be done before this one
	// starts.
	After []int
	// Lasting tasks run until their job is cancelled.
	Lasting bool
}

// stepMemoryMB is the memory that each task needs, in megabytes.
const stepMemoryMB = 64

// JobBody returns the body of the request with which a client submits a job.
func JobBody(payload string, steps []Step) string {
	rows := []any{}
	for _, ste := range steps {
		row := map[string]any{"count": ste.Count, "cpu": ste.CPU, "mem-mb": stepMemoryMB, "estimate-ms": ste.Estimate.Milliseconds()}
		if len(ste.After) > 0 {
			row["after"] = ste.After
		}
		if ste.Lasting {
			row["long-running"] = true
		}
		rows = append(rows, row)
	}
	raw, err := json.Marshal(map[string]any{"spec": payload, "steps": rows})
	if err != nil {
		// Strings and numbers always encode.
		panic(err)
	}
	return string(raw)
}

// Process holds the settings that the platform gives to a process of the program.
type Process struct {
	Name string
	// Callers and Ready are the addresses on which the process listens for clients
	// and for the balancer. Port is its internal port on loopback.
	Callers string
	Ready   string
	Port    int
	// Store, Machines and Advisor are the addresses of the platform's services.
	Store    string
	Machines string
	Advisor  string
	// Grace is the time from SIGTERM to SIGKILL.
	Grace time.Duration
	// Revoke is the time within which a withdrawn key must stop working.
	Revoke time.Duration
	// LongestLease is the longest lease that VMs grant, or 0 for 6 s.
	LongestLease time.Duration
}

// Settings returns the text of the process's settings file.
func (pro Process) Settings() string {
	longestLease := maxLease
	if pro.LongestLease > 0 {
		longestLease = pro.LongestLease
	}
	return fmt.Sprintf("node-name = %q\nip = \"127.0.0.1\"\nzone = \"az0\"\ninternal-ports = [%d,%d]\nadvice = %q\n"+
		"[listen-addrs]\nfront = %q\nready = %q\n[platform]\naddress = %q\n[cloud]\naddress = %q\nduty-per-s = 64.0\n"+
		"[bounds]\ngrace-s = %g\nrevoke-ms = %d\nhold-max-ms = %d\nstop-ms = 400\nmaintenance-s = %g\n",
		pro.Name, pro.Port, pro.Port, pro.Advisor, pro.Callers, pro.Ready, pro.Store, pro.Machines,
		pro.Grace.Seconds(), pro.Revoke.Milliseconds(), longestLease.Milliseconds(), upkeepTime.Seconds())
}
