package blame

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// atStart is a run whose VM is lost as the run starts: it was last seen with the answer
// to the start.
var atStart = Run{Lost: 500 * time.Millisecond}

// crash returns the record of a task after its VM was lost.
func crash(rec Record, run Run, rate float64, beside ...Run) Record {
	run.Record = rec
	return Weigh(append([]Run{run}, beside...), rate)[0]
}

// TestCrashAtEachStartIsGuilt guards against a task that crashes VMs for ever.
func TestCrashAtEachStartIsGuilt(t *testing.T) {
	var rec Record
	for count := range minCrashes + 1 {
		assert.Equal(t, rec.IsSuspect(), count >= 2, "after %d crashes", count)
		assert.Equal(t, rec.IsGuilty(false), count >= minCrashes, "after %d crashes", count)
		assert.Equal(t, rec.IsGuilty(true), false, "after %d crashes", count)
		rec = crash(rec, atStart, floorRate)
	}
	assert.Assert(t, rec.IsGuilty(true))
}

// TestCrashesAmongOthersAreGuilt guards against a task that hides among a dozen others
// that start with it and are lost with it.
func TestCrashesAmongOthersAreGuilt(t *testing.T) {
	var beside []Run
	for range 12 {
		beside = append(beside, Run{Lived: 100 * time.Millisecond, Lost: 600 * time.Millisecond})
	}
	rec := crash(Record{}, atStart, floorRate, beside...)
	for i := range beside {
		beside[i].Record = Weigh(append(beside[i:i+1:i+1], atStart), floorRate)[0]
	}
	rec = crash(rec, atStart, floorRate, beside...)
	assert.Assert(t, rec.IsSuspect(), "%+v", rec)
	rec = crash(rec, atStart, floorRate)
	assert.Assert(t, rec.IsGuilty(false), "%+v", rec)
}

// TestLateCrashesAreNoGuilt guards against giving up a task because its VM crashes
// again and again for other causes, seconds after the task has started.
func TestLateCrashesAreNoGuilt(t *testing.T) {
	for _, run := range []Run{
		{Lived: 700 * time.Millisecond, Lost: 1600 * time.Millisecond},
		{Lived: 1200 * time.Millisecond, Lost: 2 * time.Second},
		{Lived: 3 * time.Second, Lost: 5 * time.Second},
	} {
		var rec Record
		for range 20 {
			rec = crash(rec, run, floorRate)
			assert.Assert(t, !rec.IsGuilty(false) && !rec.IsGuilty(true), "%v: %+v", run, rec)
		}
	}
}

// TestCrashesInWaveAreNoGuilt guards against giving up a task for crashes at its start
// while VMs without it crash as well.
func TestCrashesInWaveAreNoGuilt(t *testing.T) {
	now := time.Unix(1000, 0)
	crs := NewCrashes()
	var rec Record
	for range 5 {
		now = now.Add(10 * time.Second)
		for range 4 {
			crs.Add("lots", now)
		}
		rec = crash(rec, atStart, crs.Rate("lots", 8, now.Add(time.Second)))
		assert.Assert(t, !rec.IsGuilty(false), "%+v", rec)
	}
}

// TestLikelierCauseBeside guards against blaming a task for a crash that one beside it
// explains better.
func TestLikelierCauseBeside(t *testing.T) {
	known := atStart
	known.Record = Restored(3, 0)
	rec := crash(Record{}, atStart, floorRate, known)
	assert.Assert(t, rec.Evidence <= 1, "%+v", rec)
}

// TestOutlivedStartClears guards against a suspect that keeps its VM to itself for as
// long as it runs.
func TestOutlivedStartClears(t *testing.T) {
	rec := Restored(2, 0)
	assert.Assert(t, rec.IsolatedAt(0) && rec.IsolatedAt(time.Second))
	for count := range 10 {
		assert.Assert(t, !Restored(count, 0).IsolatedAt(IsolationTime))
	}
	assert.Equal(t, Restored(100, 0).Outlived(StartupTime+1), Record{})
	assert.Equal(t, rec.Outlived(-time.Hour), rec)
}

// TestStoredRecords guards against records of earlier versions, and odd ones.
func TestStoredRecords(t *testing.T) {
	assert.Equal(t, Restored(0, 0), Record{})
	assert.Equal(t, Restored(2, 0), Record{Crashes: 2, Evidence: 2 * maxGain})
	assert.Equal(t, Restored(2, 7), Record{Crashes: 2, Evidence: 7})
	assert.Equal(t, Restored(1, math.MaxInt), Record{Crashes: 1, Evidence: maxGain})
	for _, odd := range []Record{Restored(-1, 5), Restored(3, -5), Restored(math.MinInt, math.MinInt)} {
		assert.Equal(t, odd, Record{})
	}
	assert.Assert(t, !Restored(math.MaxInt, 0).IsGuilty(false), "no job ends without a crash")
}

// TestOddRuns guards against ages and rates that make no sense: clocks and lists of
// others take part in them.
func TestOddRuns(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		age := rapid.Custom(func(rt *rapid.T) time.Duration { return time.Duration(rapid.Int64().Draw(rt, "age")) })
		rate := rapid.Float64().Draw(rt, "rate")
		if rapid.Bool().Draw(rt, "not a number") {
			rate = math.NaN()
		}
		var runs []Run
		for range rapid.IntRange(0, 5).Draw(rt, "runs") {
			runs = append(runs, Run{Lived: age.Draw(rt, "lived"), Lost: age.Draw(rt, "lost"), Record: Restored(rapid.Int().Draw(rt, "crashes"), Evidence(rapid.Int().Draw(rt, "evidence")))})
		}
		for i, rec := range Weigh(runs, rate) {
			before := runs[i].Record
			if rec.Evidence < 0 || rec.Evidence > before.Evidence+maxGain || rec.Crashes > before.Crashes+1 || rec.IsGuilty(false) && rec.Crashes < minCrashes {
				rt.Fatalf("%+v becomes %+v", runs[i], rec)
			}
		}
	})
}

// TestRateOfUnexplainedCrashes checks that crashes count for longWindow, by pool, and
// never make less than floorRate.
func TestRateOfUnexplainedCrashes(t *testing.T) {
	now := time.Unix(1000, 0)
	crs := NewCrashes()
	assert.Equal(t, crs.Rate("lots", 8, now), floorRate)
	for range 24 {
		crs.Add("lots", now)
	}
	assert.Equal(t, crs.Rate("other", 8, now), floorRate)
	assert.Equal(t, crs.Rate("lots", 8, now.Add(shortWindow)), 1.5)
	assert.Equal(t, crs.Rate("lots", 8, now.Add(longWindow)), 0.1)
	assert.Equal(t, crs.Rate("lots", 8, now.Add(longWindow+1)), floorRate)
	assert.Assert(t, crs.Rate("lots", 0, now) < 100, "the VMs may all be gone")
}

// TestOutageNeedsBlamelessVM guards against taking the crashes of a deadly task for an
// outage of a small zone.
func TestOutageNeedsBlamelessVM(t *testing.T) {
	now := time.Unix(1000, 0)
	out := NewOutages()
	gone := VM{Places: []string{"az0", "rack 1"}, Gone: true}
	assert.Equal(t, len(out.Detect([]VM{gone, gone, gone, {Places: []string{"az1"}}}, now)), 0)
	idle := gone
	idle.Blameless = true
	assert.DeepEqual(t, out.Detect([]VM{gone, gone, idle}, now), []Outage{{"az0", 3, 3}, {"rack 1", 3, 3}})
	assert.Equal(t, len(out.Detect([]VM{gone, gone, idle}, now)), 0, "an outage is found once")
	assert.Assert(t, out.Covers([]string{"az0"}, now.Add(outageTime-1)))
	assert.Assert(t, !out.Covers([]string{"az0"}, now.Add(outageTime)))
	assert.Assert(t, !out.Covers([]string{"az1"}, now))
}

// TestUnconfirmedCrashesCount guards against a deadly task that is started three times
// more after three crashes (BUDGET), as its VM doesn't live to confirm a start while
// others are gone as well; and against giving up a task for such starts alone.
func TestUnconfirmedCrashesCount(t *testing.T) {
	unconfirmed := Run{Lost: 100 * time.Millisecond, Unconfirmed: true}
	rec := crash(crash(Record{}, atStart, floorRate), unconfirmed, floorRate)
	assert.Assert(t, rec.IsSuspect())
	assert.Assert(t, crash(rec, atStart, floorRate).IsGuilty(false))
	rec = Record{}
	for range 20 {
		rec = crash(rec, unconfirmed, floorRate)
		assert.Assert(t, !rec.IsGuilty(false), "%+v", rec)
	}
	unconfirmed.Alone = true
	rec = Record{}
	for range 4 {
		rec = crash(rec, unconfirmed, floorRate)
	}
	assert.Assert(t, rec.IsGuilty(false), "%+v", rec)
}
