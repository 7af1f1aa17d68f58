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

// Sizes of the demonstration.
const (
	entries = 3
	// listLag is how late the platform tells of a change.
	listLag = 2 * time.Second
	// readyTimeout bounds the start.
	readyTimeout = 15 * time.Second
	// anyPort lets the system choose a port.
	anyPort = "127.0.0.1:0"
)

var azs = []string{"mu-east-1", "mu-east-2", "mu-east-3", "mu-east-4"}

// cluster is all that runs: the stand-ins and the entries.
type cluster struct {
	*fleet.Fleet
	tables     table.Tables
	credential string
	settings   []settings.Settings
	logger     *logrus.Logger

	mu      sync.Mutex
	members []*process
}

// process is one entry and the end of its run.
type process struct {
	runner *runner.Runner
	admin  *adminclient.Client
	done   chan struct{}
	// leaving entries get no new callers from the balancer.
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
	for i := range entries {
		cls.settings = append(cls.settings, settings.Settings{
			Name: fmt.Sprintf("e%d", i+1), Region: "mu-east", AZ: azs[i%len(azs)],
			Callers: anyPort, PeerListener: anyPort, Admin: anyPort,
			Store: cls.StoreURL, StorePrefix: "/balsamgauge/", VMList: cls.ListURL + "/vms",
			OperatorKeyHash: key.Hash(cls.credential),
			MaxEntries:      entries, ConnectionsPerExecutor: connectionsPerExecutor,
			StoreWritesPerSecond: 100, TimelineEvents: 20_000, LogLevel: "info",
		})
		if _, err := cls.startEntry(i); err != nil {
			return err
		}
	}
	return nil
}

// startEntry starts an entry with the settings of a place, as the platform does
// when it replaces a VM.
func (cls *cluster) startEntry(place int) (prc *process, err error) {
	set := cls.settings[place]
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
	cls.members = append(cls.members, prc)
	return prc, nil
}

// live returns the entries that the balancer sends callers to.
func (cls *cluster) live() []*process {
	cls.mu.Lock()
	defer cls.mu.Unlock()
	var live []*process
	for _, prc := range cls.members {
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

// setLeaving takes an entry out of the balancer.
func (cls *cluster) setLeaving(prc *process) {
	cls.mu.Lock()
	defer cls.mu.Unlock()
	prc.leaving = true
}

// awaitStatus waits until a condition holds at every live entry.
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
	return fmt.Errorf("waited too long until %s; %s", what, cls.describe())
}

// describe tells how each live entry sees the fleet, for an error.
func (cls *cluster) describe() string {
	var text strings.Builder
	for _, prc := range cls.live() {
		sts, err := prc.admin.Status(context.Background())
		fmt.Fprintf(&text, "%s: %+v %v; ", prc.runner.ID(), sts, err)
	}
	return text.String()
}

func (cls *cluster) isVoting(prc *process) bool {
	sts, err := prc.admin.Status(context.Background())
	return err == nil && sts.Voting && sts.Fresh
}

// hasVMs reports whether every VM of the tables is in its pool at an entry.
func (cls *cluster) hasVMs(prc *process) bool {
	cfg, err := prc.admin.Config(context.Background())
	return err == nil && len(cfg.VMs) == len(cls.AZs)
}

func (cls *cluster) stop() {
	cls.mu.Lock()
	members := cls.members
	cls.mu.Unlock()
	for _, prc := range members {
		prc.runner.Kill()
		<-prc.done
	}
	cls.Fleet.Stop()
}
