package table

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/source"
	"github.com/pelletier/go-toml/v2"
)

// MaxBodyLimit is the maximum of max_body_bytes, in bytes.
const MaxBodyLimit = 4 << 20

// MaxTaskPayload is the maximum size of a task's payload in bytes. It keeps a
// segment of records well below the store's limit of one megabyte for a value.
const MaxTaskPayload = 64 << 10

// DefaultMaxBody is the value of max_body_bytes for a route that sets none, in
// bytes.
const DefaultMaxBody = 64 << 10

// minDeadline and maxDeadline bound the deadline of a route.
const (
	minDeadline = time.Millisecond
	maxDeadline = 24 * time.Hour
)

// Tables is the content of the two tables that operators keep in version
// control: the table of routes holds Teams and Routes, and the table of pools
// holds Pools and AZsOut.
type Tables struct {
	Teams  []Team  `json:"teams"`
	Routes []Route `json:"routes"`
	Pools  []Pool  `json:"pools"`
	// AZsOut lists the availability zones that operators took out of service.
	// It is nil when the file has no such list, which leaves the zones
	// unchanged.
	AZsOut []string `json:"azs_out,omitempty"`
}

type routesFile struct {
	Teams  []Team  `toml:"team"`
	Routes []Route `toml:"route"`
}

type poolsFile struct {
	AZsOut []string `toml:"azs_out,omitempty"`
	Pools  []Pool   `toml:"pool"`
}

// Parse parses both tables and validates them together. The error, if any, is a
// sorted list of diagnostics with their positions.
func Parse(routesName string, routes []byte, poolsName string, pools []byte) (tbs Tables, err error) {
	var rsf routesFile
	var psf poolsFile
	routesSource := source.Decode(routesName, routes, &rsf)
	poolsSource := source.Decode(poolsName, pools, &psf)
	tbs = Tables{Teams: rsf.Teams, Routes: rsf.Routes, Pools: psf.Pools, AZsOut: psf.AZsOut}
	for i := range tbs.Routes {
		if tbs.Routes[i].MaxBodyBytes == 0 {
			tbs.Routes[i].MaxBodyBytes = DefaultMaxBody
		}
	}
	chk := checker{tables: tbs, routes: routesSource, pools: poolsSource}
	chk.check()
	dgs := append(slices.Clone(routesSource.Diagnostics), poolsSource.Diagnostics...)
	return tbs, dgs.AsError()
}

// ParsePools parses and validates a table of pools alone.
func ParsePools(name string, pools []byte) (tbs Tables, err error) {
	return Parse("routes", nil, name, pools)
}

// Format returns both tables as TOML.
func (tbs Tables) Format() (routes, pools []byte, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("format tables as TOML: %w", err)
		}
	}()
	routes, err = toml.Marshal(routesFile{Teams: tbs.Teams, Routes: tbs.Routes})
	if err != nil {
		return nil, nil, err
	}
	pools, err = toml.Marshal(poolsFile{AZsOut: tbs.AZsOut, Pools: tbs.Pools})
	return routes, pools, err
}

// Validate checks tables that were not parsed from files, such as those of a
// peer or of an operator's request.
func (tbs Tables) Validate() error {
	chk := checker{
		tables: tbs,
		routes: source.Decode("routes", nil, &routesFile{}),
		pools:  source.Decode("pools", nil, &poolsFile{}),
	}
	chk.check()
	dgs := append(slices.Clone(chk.routes.Diagnostics), chk.pools.Diagnostics...)
	return dgs.AsError()
}

type checker struct {
	tables Tables
	routes *source.File
	pools  *source.File
}

func (chk checker) check() {
	teams := chk.checkTeams()
	pools := chk.checkPools()
	chk.checkRoutes(teams, pools)
}

func (chk checker) checkTeams() map[string]bool {
	seen := map[string]bool{}
	for i, tea := range chk.tables.Teams {
		at := fmt.Sprintf("team.%d", i)
		checkName(chk.routes, at, "team", tea.Name, seen)
		if tea.Share < 1 {
			chk.routes.Addf(at+".share", "team %q: share must be at least 1", tea.Name)
		}
		if tea.Limit < 1 {
			chk.routes.Addf(at+".limit", "team %q: limit must be at least 1", tea.Name)
		}
	}
	return seen
}

func (chk checker) checkPools() map[string]Pool {
	seen := map[string]bool{}
	pools := map[string]Pool{}
	for i, poo := range chk.tables.Pools {
		at := fmt.Sprintf("pool.%d", i)
		checkName(chk.pools, at, "pool", poo.Name, seen)
		pools[poo.Name] = poo
		chk.checkPool(at, poo)
	}
	for i, poo := range chk.tables.Pools {
		if poo.Spare == "" {
			continue
		}
		at := fmt.Sprintf("pool.%d.spare", i)
		spare, ok := pools[poo.Spare]
		switch {
		case !ok:
			chk.pools.Addf(at, "pool %q: no pool is named %q", poo.Name, poo.Spare)
		case spare.Spare != "":
			chk.pools.Addf(at, "pool %q: pool %q has a spare pool itself and can't be one", poo.Name, poo.Spare)
		}
	}
	return pools
}

func (chk checker) checkPool(at string, poo Pool) {
	if poo.Service != ServiceExecutor && poo.Service != ServiceWorker {
		chk.pools.Addf(at+".service", "pool %q: service must be %q or %q", poo.Name, ServiceExecutor, ServiceWorker)
	}
	if poo.Budget < 1 {
		chk.pools.Addf(at+".budget", "pool %q: budget must be at least 1", poo.Name)
	}
	if poo.MaxWaiting < 1 {
		chk.pools.Addf(at+".max_waiting", "pool %q: max_waiting must be at least 1", poo.Name)
	}
	if poo.UrgentReserve < 0 || poo.UrgentReserve > 90 {
		chk.pools.Addf(at+".urgent_reserve_percent", "pool %q: urgent_reserve_percent must be from 0 to 90", poo.Name)
	}
	for _, az := range sortedKeys(poo.VMs) {
		if poo.VMs[az] < 0 {
			chk.pools.Addf(at+".vms."+az, "pool %q: the number of VMs in %q must not be negative", poo.Name, az)
		}
	}
}

func (chk checker) checkRoutes(teams map[string]bool, pools map[string]Pool) {
	seen := map[string]bool{}
	paths := map[string]bool{}
	for i, rou := range chk.tables.Routes {
		at := fmt.Sprintf("route.%d", i)
		checkName(chk.routes, at, "route", rou.Name, seen)
		chk.checkRouteFields(at, rou, paths)
		chk.checkRouteReferences(at, rou, teams, pools)
	}
}

func (chk checker) checkRouteFields(at string, rou Route, paths map[string]bool) {
	switch rou.Kind {
	case KindRequest:
		chk.checkPath(at, rou, paths)
	case KindTask:
		if rou.Path != "" {
			chk.routes.Addf(at+".path", "route %q: a task's route has no path", rou.Name)
		}
		if rou.MaxBodyBytes > MaxTaskPayload {
			chk.routes.Addf(at+".max_body_bytes", "route %q: a task's payload holds at most %d bytes", rou.Name, MaxTaskPayload)
		}
	default:
		chk.routes.Addf(at+".kind", "route %q: kind must be %q or %q", rou.Name, KindRequest, KindTask)
	}
	switch rou.Urgency {
	case UrgencyUrgent, UrgencyNormal, UrgencyLong:
	default:
		chk.routes.Addf(at+".urgency", "route %q: urgency must be %q, %q or %q", rou.Name, UrgencyUrgent, UrgencyNormal, UrgencyLong)
	}
	if time.Duration(rou.Deadline) < minDeadline || time.Duration(rou.Deadline) > maxDeadline {
		chk.routes.Addf(at+".deadline", "route %q: deadline must be a span such as \"1.5s\", from %s to %s", rou.Name, minDeadline, maxDeadline)
	}
	if rou.MaxBodyBytes < 0 || rou.MaxBodyBytes > MaxBodyLimit {
		chk.routes.Addf(at+".max_body_bytes", "route %q: max_body_bytes must be from 1 to %d", rou.Name, MaxBodyLimit)
	}
}

func (chk checker) checkPath(at string, rou Route, paths map[string]bool) {
	if rou.Path == "" || rou.Path[0] != '/' {
		chk.routes.Addf(at+".path", "route %q: path must begin with a slash", rou.Name)
		return
	}
	if paths[rou.Path] {
		chk.routes.Addf(at+".path", "route %q: path %q is taken by another route", rou.Name, rou.Path)
	}
	paths[rou.Path] = true
}

func (chk checker) checkRouteReferences(at string, rou Route, teams map[string]bool, pools map[string]Pool) {
	poo, ok := pools[rou.Pool]
	switch {
	case !ok:
		chk.routes.Addf(at+".pool", "route %q: no pool is named %q", rou.Name, rou.Pool)
	case rou.Kind == KindRequest && poo.Service != ServiceExecutor:
		chk.routes.Addf(at+".pool", "route %q: requests need a pool of executors, and %q is not one", rou.Name, rou.Pool)
	case rou.Kind == KindTask && poo.Service != ServiceWorker:
		chk.routes.Addf(at+".pool", "route %q: tasks need a pool of workers, and %q is not one", rou.Name, rou.Pool)
	}
	for _, name := range rou.Teams {
		if !teams[name] {
			chk.routes.Addf(at+".teams", "route %q: no team is named %q", rou.Name, name)
		}
	}
	if rou.OpenTeam != "" && !teams[rou.OpenTeam] {
		chk.routes.Addf(at+".open_team", "route %q: no team is named %q", rou.Name, rou.OpenTeam)
	}
}

func checkName(fil *source.File, at, noun, name string, seen map[string]bool) {
	if name == "" {
		fil.Addf(at+".name", "%s without a name", noun)
		return
	}
	if seen[name] {
		fil.Addf(at+".name", "%s %q is declared twice", noun, name)
	}
	seen[name] = true
}

func sortedKeys(m map[string]int) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
