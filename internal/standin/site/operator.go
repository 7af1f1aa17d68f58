package site

import (
	"encoding/json"
	"fmt"
	"time"
)

// Config is a configuration as the operators write it.
type Config struct {
	Version int
	Queues  []Queue
	Pools   []Pool
	// RejectsOverload says that VMs reject tasks that don't fit.
	RejectsOverload bool
	Accounts        []Account
}

// Queue takes jobs for a pool.
type Queue struct {
	Name   string
	Prefix string
	Pool   string
	// Attempts is how often a task may fail.
	Attempts int
	Public   bool
	// DecisionTime is how long the advisor takes for a step; 0 for queues without.
	DecisionTime time.Duration
}

// Account is a client account. A cap of 0 is none.
type Account struct {
	Name     string
	Keys     []string
	Weight   int
	CPULimit int64
}

// Host is the host name of all queues.
const Host = "lots.example"

// Queue settings that all queues share, in milliseconds and as a factor.
const (
	callTimeout = 3000
	jobTarget   = 600
	jobSlack    = 1.6
)

// Configure writes a configuration.
func (sit *Site) Configure(cfg Config) {
	routes, services, tenants := []any{}, []any{}, []any{}
	for _, que := range cfg.Queues {
		route := map[string]any{
			"name": que.Name, "host": Host, "prefix": que.Prefix, "kind": "non_idempotent", "timeout-ms": callTimeout,
			"target-duration-ms": jobTarget, "priority": 0, "service": que.Pool, "max-attempts": que.Attempts,
			"slack-factor": jobSlack, "public": que.Public,
		}
		if que.DecisionTime > 0 {
			route["advice"] = map[string]any{"decision-ms": que.DecisionTime.Milliseconds(), "period-ms": 0, "valid-ms": adviceValid}
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
			"name": acc.Name, "api-keys": acc.Keys, "weight": acc.Weight, "cap": map[string]int64{"cpu": acc.CPULimit},
		})
	}
	sit.Store.Put("op/config", map[string]any{"version": cfg.Version, "routes": routes, "services": services, "tenants": tenants})
}

// SetZoneOut takes an availability zone out, or back in.
func (sit *Site) SetZoneOut(zone string, out bool) {
	key := "op/evacuate/" + zone
	if out {
		sit.Store.Put(key, map[string]any{})
	} else {
		sit.Store.Delete(key)
	}
}

// RequestWave asks for the upkeep of machines.
func (sit *Site) RequestWave(number int, machines []string, within time.Duration, most int) {
	sit.Store.Put(fmt.Sprintf("op/wave/%d", number), map[string]any{
		"wave": number, "machines": machines, "duration-s": within.Seconds(), "cap": most,
	})
}

// Step is a step of a job.
type Step struct {
	Count    int
	CPU      int64
	Estimate time.Duration
	After    []int
	Lasting  bool
}

// stepMemory is what each task takes, in megabytes.
const stepMemory = 64

// JobBody returns the body by which a client submits a job.
func JobBody(payload string, steps []Step) string {
	rows := []any{}
	for _, ste := range steps {
		row := map[string]any{"count": ste.Count, "cpu": ste.CPU, "mem-mb": stepMemory, "estimate-ms": ste.Estimate.Milliseconds()}
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

// Process is what the platform tells a process of the program.
type Process struct {
	Name string
	// Callers and Ready are where it listens for clients and for the balancer, Port
	// for its own use, all on loopback.
	Callers string
	Ready   string
	Port    int
	// Store, Machines and Advisor are where it reaches the platform.
	Store    string
	Machines string
	Advisor  string
	Grace    time.Duration
	Revoke   time.Duration
}

// Settings returns the text of the settings file of a process.
func (pro Process) Settings() string {
	return fmt.Sprintf("node-name = %q\nip = \"127.0.0.1\"\nzone = \"az0\"\ninternal-ports = [%d,%d]\nadvice = %q\n"+
		"[listen-addrs]\nfront = %q\nready = %q\n[platform]\naddress = %q\n[cloud]\naddress = %q\nduty-per-s = 64.0\n"+
		"[bounds]\ngrace-s = %g\nrevoke-ms = %d\nhold-max-ms = 6000\nstop-ms = 400\nmaintenance-s = %g\n",
		pro.Name, pro.Port, pro.Port, pro.Advisor, pro.Callers, pro.Ready, pro.Store, pro.Machines,
		pro.Grace.Seconds(), pro.Revoke.Milliseconds(), upkeepTime.Seconds())
}
