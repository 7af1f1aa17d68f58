package demo

import (
	"context"
	_ "embed"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/adminclient"
	"github.com/balsamgauge/balsamgauge/internal/core/key"
	"github.com/balsamgauge/balsamgauge/internal/runner"
	"github.com/balsamgauge/balsamgauge/internal/settings"
	"github.com/balsamgauge/balsamgauge/internal/standin/fleet"
	"github.com/balsamgauge/balsamgauge/pkg/table"
	"github.com/sirupsen/logrus"
)

//go:embed tables/routes.toml
var routesTOML []byte

//go:embed tables/pools.toml
var poolsTOML []byte

// Sizes and times of the demonstration.
const (
	entryCount = 3
	// listLag is the delay of changes in the platform's list of VMs.
	listLag = 2 * time.Second
	// readyTimeout is the time that await waits for a condition.
	readyTimeout = 15 * time.Second
	// anyPort is a listen address on a free loopback port.
	anyPort = "127.0.0.1:0"
)

var azs = []string{"mu-east-1", "mu-east-2", "mu-east-3", "mu-east-4"}

// cluster holds the stand-ins and the entries.
type cluster struct {
	*fleet.Fleet
	tables     table.Tables
	credential string
	settings   []settings.Settings
	logger     *logrus.Logger

	mu        sync.Mutex
	processes []*process
}

// process is an entry.
type process struct {
	runner *runner.Runner
	admin  *adminclient.Client
	// done is closed when the entry has ended.
	done chan struct{}
	// leaving entries get no new calls.
	leaving bool
}

func startCluster(doubleRuns bool) (cls *cluster, err error) {
	cls = &cluster{logger: logrus.New()}
	cls.logger.SetOutput(io.Discard)
	if cls.tables, err = table.Parse("routes.toml", routesTOML, "pools.toml", poolsTOML); err != nil {
		return nil, err
	}
	if cls.credential, err = key.New(); err != nil {
		return nil, err
	}
	cls.Fleet, err = fleet.Start(fleet.Options{
		StoreAddress: anyPort, ListAddress: anyPort, ListLag: listLag,
		Pools: cls.tables.Pools, DoubleRuns: doubleRuns,
	})
	if err != nil {
		return nil, err
	}
	return cls, cls.startEntries()
}

func (cls *cluster) startEntries() error {
	for i := range entryCount {
		cls.settings = append(cls.settings, settings.Settings{
			Name: fmt.Sprintf("e%d", i+1), Region: "mu-east", AZ: azs[i%len(azs)],
			Callers: anyPort, PeerListener: anyPort, Admin: anyPort,
			Store: cls.StoreURL, StorePrefix: "/balsamgauge/", VMList: cls.ListURL + "/vms",
			OperatorKeyHash: key.Hash(cls.credential),
			MaxEntries:      entryCount, ConnectionsPerExecutor: connectionsPerExecutor,
			StoreWritesPerSecond: 100, TimelineEvents: 20_000, LogLevel: "info",
		})
		if _, err := cls.startEntry(i); err != nil {
			return err
		}
	}
	return nil
}

// startEntry starts an entry with the settings at an index. The platform reuses
// the settings of an entry in the same way when it replaces its VM.
func (cls *cluster) startEntry(index int) (prc *process, err error) {
	set := cls.settings[index]
	for _, other := range cls.live() {
		set.Peers = append(set.Peers, other.runner.PeerListener.Addr().String())
	}
	rnr, err := runner.New(set, cls.logger)
	if err != nil {
		return nil, err
	}
	prc = &process{
		runner: rnr, done: make(chan struct{}),
		admin: adminclient.New(rnr.AdminListener.Addr().String(), cls.credential),
	}
	go func() {
		_ = rnr.Run()
		close(prc.done)
	}()
	cls.mu.Lock()
	defer cls.mu.Unlock()
	cls.processes = append(cls.processes, prc)
	return prc, nil
}

// live returns the entries that get new calls: those that run and are not leaving.
func (cls *cluster) live() []*process {
	cls.mu.Lock()
	defer cls.mu.Unlock()
	var live []*process
	for _, prc := range cls.processes {
		select {
		case <-prc.done:
		default:
			if !prc.leaving {
				live = append(live, prc)
			}
		}
	}
	return live
}

// setLeaving stops new calls to an entry.
func (cls *cluster) setLeaving(prc *process) {
	cls.mu.Lock()
	defer cls.mu.Unlock()
	prc.leaving = true
}

// await waits until a condition holds at every live entry.
func (cls *cluster) await(ctx context.Context, what string, holds func(prc *process) bool) error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		all := true
		for _, prc := range cls.live() {
			all = all && holds(prc)
		}
		if all {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(50 * time.Millisecond):
		}
	}
	return fmt.Errorf("timed out waiting until %s; %s", what, cls.describe())
}

// describe returns the status of each live entry, for an error message.
func (cls *cluster) describe() string {
	var text strings.Builder
	for _, prc := range cls.live() {
		sts, err := prc.admin.Status(context.Background())
		fmt.Fprintf(&text, "%s: %+v %v; ", prc.runner.ID(), sts, err)
	}
	return text.String()
}

// isVoting reports whether an entry votes and has a fresh configuration.
func (cls *cluster) isVoting(prc *process) bool {
	sts, err := prc.admin.Status(context.Background())
	return err == nil && sts.Voting && sts.Fresh
}

// hasVMs reports whether an entry has assigned every VM of the tables to a pool.
func (cls *cluster) hasVMs(prc *process) bool {
	cfg, err := prc.admin.Config(context.Background())
	return err == nil && len(cfg.VMs) == len(cls.AZs)
}

func (cls *cluster) stop() {
	cls.mu.Lock()
	processes := cls.processes
	cls.mu.Unlock()
	for _, prc := range processes {
		prc.runner.Kill()
		<-prc.done
	}
	cls.Fleet.Stop()
}
