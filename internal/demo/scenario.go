package demo

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/adminclient"
	"github.com/balsamgauge/balsamgauge/internal/standin/executor"
)

// propagationLimit is the time from the acceptance of a change within which it
// must be in force at every entry.
const propagationLimit = 3 * time.Second

// Options configure the demonstration.
type Options struct {
	// DoubleRuns makes the executors run every request twice, to show that the
	// checks detect it.
	DoubleRuns bool
	// Brief limits the scenario to its first scene.
	Brief bool
	// Progress is called at each step; it may be nil.
	Progress func(Step)
}

// observations holds the times of the injected events and the samples of the
// entries' configurations, for the checks.
type observations struct {
	withdrawnAt  time.Time
	withdrawnKey string
	azOut        string
	azOutAt      time.Time
	azInAt       time.Time
	drained      string
	drainedAt    time.Time
	// overloaded is set once teams have requested more than their limit.
	overloaded bool
	// propagations holds, for each accepted change, the time until it was in force
	// at the slowest entry.
	propagations []time.Duration
	// regressions counts the samples in which an entry's revision went down.
	regressions int
	samples     int
	// sharedVMs counts the VMs that a sample assigned to more than one pool.
	sharedVMs int
}

// demonstration is one run of the scenario.
type demonstration struct {
	cluster  *cluster
	callers  *callers
	began    time.Time
	steps    []Step
	progress func(Step)
	brief    bool
	obs      observations
	watch    *revisionWatch
	keys     map[string]string
}

// Run runs the demonstration and returns its report.
func Run(ctx context.Context, opt Options) (rep Report, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("run demonstration: %w", err)
		}
	}()
	cls, err := startCluster(opt.DoubleRuns)
	if err != nil {
		return Report{}, err
	}
	defer cls.stop()
	dem := &demonstration{
		cluster: cls, callers: newCallers(cls), began: time.Now(),
		progress: opt.Progress, brief: opt.Brief, keys: map[string]string{},
	}
	if err := dem.prepare(ctx); err != nil {
		return Report{}, err
	}
	if err := dem.runScenes(ctx); err != nil {
		return Report{}, err
	}
	return dem.evaluate(), nil
}

// step records a step and reports it as progress.
func (dem *demonstration) step(format string, args ...any) {
	stp := Step{AtSeconds: seconds(time.Since(dem.began)), Name: fmt.Sprintf(format, args...)}
	dem.steps = append(dem.steps, stp)
	if dem.progress != nil {
		dem.progress(stp)
	}
}

// admin returns the admin client of the first live entry.
func (dem *demonstration) admin() *adminclient.Client {
	return dem.cluster.live()[0].admin
}

// prepare waits for the entries, applies the tables of routes and pools, and
// grants the keys.
func (dem *demonstration) prepare(ctx context.Context) error {
	if err := dem.cluster.await(ctx, "every entry votes", dem.cluster.isVoting); err != nil {
		return err
	}
	dem.step("%d entries vote", entryCount)
	dem.watch = watchRevisions(dem.cluster)
	if _, err := dem.admin().Apply(ctx, dem.cluster.tables, 0); err != nil {
		return err
	}
	for _, team := range []string{"dispatch", "farms"} {
		rsp, err := dem.admin().Grant(ctx, team+"-app", team)
		if err != nil {
			return err
		}
		dem.keys[team] = rsp.Key
	}
	rsp, err := dem.admin().Grant(ctx, "farms-lost", "farms")
	if err != nil {
		return err
	}
	dem.keys["lost"] = rsp.Key
	if err := dem.cluster.await(ctx, "every VM is in its pool", dem.cluster.hasVMs); err != nil {
		return err
	}
	dem.step("tables applied, keys granted, %d VMs in their pools", len(dem.cluster.AZs))
	return nil
}

// runScenes runs the scenes one after the other under load.
func (dem *demonstration) runScenes(ctx context.Context) error {
	load, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	var grp sync.WaitGroup
	dem.startLoad(load, &grp)
	scenes := []func(context.Context) error{
		dem.withdrawKey, dem.takeAZOut, dem.drainExecutor, dem.overload,
		dem.interruptStore, dem.replaceEntry, dem.killEntry,
	}
	if dem.brief {
		scenes = scenes[:1]
	}
	for _, scene := range scenes {
		if err := scene(ctx); err != nil {
			stopLoad()
			grp.Wait()
			return err
		}
	}
	stopLoad()
	grp.Wait()
	settle, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	dem.callers.awaitTasks(settle)
	dem.watch.stop()
	dem.step("load ended, tasks settled")
	return nil
}

// startLoad starts callers with granted keys, without a key on an open route, and
// with keys that must be refused.
func (dem *demonstration) startLoad(ctx context.Context, grp *sync.WaitGroup) {
	kinds := []call{
		{team: "dispatch", key: dem.keys["dispatch"], method: http.MethodGet, path: "/plan/barge", repeatable: true},
		{team: "dispatch", key: dem.keys["dispatch"], method: http.MethodPost, path: "/order/feed"},
		{team: "farms", key: dem.keys["farms"], method: http.MethodGet, path: "/plan/pen", repeatable: true},
		{team: "farms", key: dem.keys["farms"], method: http.MethodPost, path: "/order/feed"},
		{team: "farms", key: dem.keys["lost"], method: http.MethodPost, path: "/order/lost"},
		{team: "visitors", method: http.MethodGet, path: "/tide/today", repeatable: true},
	}
	for _, kind := range kinds {
		for range 2 {
			dem.callers.callRepeatedly(ctx, grp, kind, 20*time.Millisecond, 10*time.Millisecond)
		}
	}
	forbidden := []call{
		{team: "dispatch", key: "bgk_wrong", method: http.MethodPost, path: "/order/forged", forbidden: true},
		{team: "dispatch", method: http.MethodPost, path: "/order/anonymous", forbidden: true},
	}
	for _, kind := range forbidden {
		dem.callers.callRepeatedly(ctx, grp, kind, 0, 100*time.Millisecond)
	}
	dem.submitTasks(ctx, grp)
}

// submitTasks starts a goroutine that submits tasks until the context is done.
func (dem *demonstration) submitTasks(ctx context.Context, grp *sync.WaitGroup) {
	grp.Add(1)
	go func() {
		defer grp.Done()
		for ctx.Err() == nil {
			dem.callers.submit(dem.keys["dispatch"], "delivery_note", "50ms", false)
			dem.callers.submit(dem.keys["farms"], "silo_reconcile", "100ms", true)
			select {
			case <-ctx.Done():
			case <-time.After(200 * time.Millisecond):
			}
		}
	}()
}

func pause(ctx context.Context, duration time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(duration):
		return nil
	}
}

// withdrawKey withdraws a key that a caller keeps using.
func (dem *demonstration) withdrawKey(ctx context.Context) error {
	if err := pause(ctx, time.Second); err != nil {
		return err
	}
	rsp, err := dem.admin().Withdraw(ctx, "farms-lost")
	if err != nil {
		return err
	}
	dem.obs.withdrawnAt, dem.obs.withdrawnKey = time.Now(), dem.keys["lost"]
	dem.watch.trackChange(rsp.Revision, dem.obs.withdrawnAt)
	dem.step("key farms-lost withdrawn at revision %d", rsp.Revision)
	return pause(ctx, 4*time.Second)
}

// takeAZOut takes an availability zone out of service and returns it.
func (dem *demonstration) takeAZOut(ctx context.Context) error {
	dem.obs.azOut = azs[1]
	rsp, err := dem.admin().SetAZ(ctx, dem.obs.azOut, true)
	if err != nil {
		return err
	}
	dem.obs.azOutAt = time.Now()
	dem.watch.trackChange(rsp.Revision, dem.obs.azOutAt)
	dem.step("availability zone %s taken out", dem.obs.azOut)
	if err := pause(ctx, 5*time.Second); err != nil {
		return err
	}
	dem.obs.azInAt = time.Now()
	rsp, err = dem.admin().SetAZ(ctx, dem.obs.azOut, false)
	if err != nil {
		return err
	}
	dem.watch.trackChange(rsp.Revision, time.Now())
	dem.step("availability zone %s back in", dem.obs.azOut)
	return pause(ctx, time.Second)
}

// drainExecutor starts the graceful shutdown of an executor.
func (dem *demonstration) drainExecutor(ctx context.Context) error {
	dem.obs.drained = "planning-" + azs[2] + "-1"
	dem.obs.drainedAt = time.Now()
	dem.cluster.Executors[dem.obs.drained].Drain()
	dem.step("%s begins its graceful shutdown", dem.obs.drained)
	return pause(ctx, 4*time.Second)
}

// overload sends more concurrent requests than the teams' limits allow, for 2 s.
func (dem *demonstration) overload(ctx context.Context) error {
	dem.step("both teams ask for more than their limits")
	busy, stop := context.WithTimeout(ctx, 2*time.Second)
	defer stop()
	var grp sync.WaitGroup
	for range 40 {
		dem.callers.callRepeatedly(busy, &grp, call{
			team: "dispatch", key: dem.keys["dispatch"], method: http.MethodPost, path: "/order/rush",
		}, 50*time.Millisecond, 0)
		dem.callers.callRepeatedly(busy, &grp, call{
			team: "farms", key: dem.keys["farms"], method: http.MethodGet, path: "/plan/rush", repeatable: true,
		}, 50*time.Millisecond, 0)
	}
	<-busy.Done()
	grp.Wait()
	dem.obs.overloaded = true
	return ctx.Err()
}

// interruptStore makes the store unavailable for 4 s.
func (dem *demonstration) interruptStore(ctx context.Context) error {
	dem.cluster.Store.SetDown(true)
	dem.step("the store goes down")
	if err := pause(ctx, 4*time.Second); err != nil {
		return err
	}
	dem.cluster.Store.SetDown(false)
	dem.step("the store is back")
	return pause(ctx, 2*time.Second)
}

// replaceEntry shuts an entry down gracefully and starts another in its place.
func (dem *demonstration) replaceEntry(ctx context.Context) error {
	old := dem.cluster.live()[0]
	dem.cluster.setLeaving(old)
	old.runner.Shutdown()
	dem.step("entry %s begins its graceful shutdown", old.runner.ID())
	select {
	case <-old.done:
	case <-time.After(15 * time.Second):
		return fmt.Errorf("entry %s did not shut down", old.runner.ID())
	}
	dem.step("entry %s has shut down", old.runner.ID())
	prc, err := dem.cluster.startEntry(0)
	if err != nil {
		return err
	}
	if err := dem.cluster.await(ctx, "the new entry votes", dem.cluster.isVoting); err != nil {
		return err
	}
	dem.step("entry %s has taken its place", prc.runner.ID())
	return pause(ctx, time.Second)
}

// killEntry ends an entry without a shutdown, as the loss of its VM does.
func (dem *demonstration) killEntry(ctx context.Context) error {
	lost := dem.cluster.live()[0]
	lost.runner.Kill()
	<-lost.done
	dem.step("entry %s is lost", lost.runner.ID())
	return pause(ctx, 8*time.Second)
}

// runsByRequest groups the runs of the executors by request.
func (dem *demonstration) runsByRequest() map[string][]executor.Run {
	runs := map[string][]executor.Run{}
	for _, run := range dem.cluster.Runs.Runs() {
		runs[run.RunID] = append(runs[run.RunID], run)
	}
	return runs
}
