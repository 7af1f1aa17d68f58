package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/event"
	"github.com/balsamgauge/balsamgauge/internal/core/key"
	"github.com/balsamgauge/balsamgauge/internal/core/vm"
	"github.com/balsamgauge/balsamgauge/pkg/outcome"
	"github.com/balsamgauge/balsamgauge/pkg/table"
	"gotest.tools/v3/assert"
)

// shape is the size of a deployment in a test.
type shape struct {
	entries  int
	azs      int
	services int
	// executors is the number of executors of each service.
	executors int
	teams     []table.Team
	deadline  time.Duration
	reserve   int
	workers   int
}

// small is a deployment for tests with faults.
var small = shape{
	entries: 3, azs: 3, services: 1, executors: 3, deadline: 2 * time.Second,
	teams: []table.Team{{Name: "big", Share: 3, Limit: 12}, {Name: "tiny", Share: 1, Limit: 4}},
}

// deployed is the shape of both current deployments: nine entries, five
// services of ten executors, and six teams of which two are large.
var deployed = shape{
	entries: 9, azs: 3, services: 5, executors: 10, deadline: 2 * time.Second,
	teams: []table.Team{
		{Name: "t1", Share: 6, Limit: 200}, {Name: "t2", Share: 6, Limit: 200},
		{Name: "t3", Share: 1, Limit: 60}, {Name: "t4", Share: 1, Limit: 60},
		{Name: "t5", Share: 1, Limit: 60}, {Name: "t6", Share: 1, Limit: 60},
	},
}

func secretOf(team string) string { return "secret of " + team }

func azName(i int) string { return fmt.Sprintf("az%d", i) }

// tables returns the tables of a shape. Each service has an urgent and a normal
// route, neither of them repeatable.
func (shp shape) tables() table.Tables {
	tbs := table.Tables{Teams: shp.teams}
	for svc := range shp.services {
		pool := fmt.Sprintf("s%d", svc)
		vms := map[string]int{}
		for i := range shp.executors {
			vms[azName(i%shp.azs)]++
		}
		tbs.Pools = append(tbs.Pools, table.Pool{
			Name: pool, Service: table.ServiceExecutor, Budget: 1, VMs: vms,
			MaxWaiting: 5000, UrgentReserve: shp.reserve,
		})
		for _, urg := range []table.Urgency{table.UrgencyUrgent, table.UrgencyNormal} {
			tbs.Routes = append(tbs.Routes, table.Route{
				Name: fmt.Sprintf("%s_%s", pool, urg), Kind: table.KindRequest,
				Path: fmt.Sprintf("/%s/%s", pool, urg), Pool: pool, Urgency: urg,
				Deadline: table.Duration(shp.deadline), MaxBodyBytes: table.DefaultMaxBody,
			})
		}
	}
	if shp.workers > 0 {
		tbs = workerTables(tbs, shp.workers, shp.azs)
	}
	return tbs
}

func (shp shape) vms() []vm.VM {
	var vms []vm.VM
	for i := range shp.services * shp.executors {
		az := azName(i % shp.executors % shp.azs)
		vms = append(vms, vm.VM{
			ID: fmt.Sprintf("vm%03d", i), AZ: az, Rack: az, Address: fmt.Sprintf("vm%03d:80", i),
			Service: table.ServiceExecutor, Slots: 8,
		})
	}
	if shp.workers > 0 {
		vms = append(vms, workerVMs(shp.workers, shp.azs)...)
	}
	return vms
}

// deploy starts the entries of a shape and applies its tables and keys.
func deploy(t testing.TB, seed uint64, shp shape) *driver {
	t.Helper()
	drv := newDriver(seed)
	drv.fleet = shp.vms()
	for i := range shp.entries {
		drv.addNode(azName(i % shp.azs))
	}
	drv.run(5 * time.Second)
	cfg := drv.nodes[0].state.config
	assert.Equal(t, len(cfg.Voters), shp.entries, "every entry votes")
	drv.operate(drv.nodes[0], "tables", table.TablesReplaced{Tables: shp.tables()})
	for _, tea := range shp.teams {
		granted := table.Key{Hash: key.Hash(secretOf(tea.Name)), Name: tea.Name, Team: tea.Name}
		drv.operate(drv.nodes[0], "key "+tea.Name, table.KeyGranted{Key: granted})
	}
	drv.run(4 * time.Second)
	assert.Equal(t, drv.reply["tables"].outcome, outcome.Accepted)
	for _, nod := range drv.nodes {
		assert.Equal(t, len(nod.state.config.VMs), len(drv.fleet), "every VM is in its pool at %s", nod.id)
	}
	return drv
}

// arrival returns a request of a team for a service.
func arrival(team string, svc int, urg table.Urgency) event.RequestArrived {
	return event.RequestArrived{
		Path: fmt.Sprintf("/s%d/%s", svc, urg), KeyHash: key.Hash(secretOf(team)),
	}
}
