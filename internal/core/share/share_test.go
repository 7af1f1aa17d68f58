package share_test

import (
	"flag"
	"fmt"
	"math"
	"os"
	"testing"

	"github.com/balsamgauge/balsamgauge/internal/core/share"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestMain fixes the seed, so that every run draws the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// assignSlots assigns slots one by one, as the dispatcher does.
func assignSlots(slots int, demands []share.Demand) []share.Team {
	teams := make([]share.Team, len(demands))
	for i, dem := range demands {
		teams[i] = share.Team{Name: dem.Name, Weight: dem.Weight, Waiting: dem.Wanted}
	}
	for range slots {
		at := share.Pick(teams)
		if at < 0 {
			break
		}
		teams[at].Running++
		teams[at].Waiting--
	}
	return teams
}

// maxDeviation is the number of slots by which a team may differ from its
// fractional share, because slots are whole.
const maxDeviation = 1.5

// TestPickFollowsWaterFill compares the incremental rule with the reference
// division, over random demands.
func TestPickFollowsWaterFill(t *testing.T) {
	worst := 0.0
	rapid.Check(t, func(rt *rapid.T) {
		var demands []share.Demand
		for i := range rapid.IntRange(1, 8).Draw(rt, "teams") {
			demands = append(demands, share.Demand{
				Name:   fmt.Sprint("t", i),
				Weight: rapid.IntRange(1, 10).Draw(rt, "weight"),
				Wanted: rapid.IntRange(0, 100).Draw(rt, "wanted"),
			})
		}
		slots := rapid.IntRange(0, 200).Draw(rt, "slots")
		want := share.WaterFill(slots, demands)
		total, wanted := 0, 0
		for i, tea := range assignSlots(slots, demands) {
			total += tea.Running
			wanted += demands[i].Wanted
			deviation := math.Abs(float64(tea.Running) - want[i])
			worst = max(worst, deviation)
			if deviation > maxDeviation {
				rt.Fatalf("team %s holds %d slots, its share is %.2f; demands %+v for %d slots", tea.Name, tea.Running, want[i], demands, slots)
			}
		}
		if total != min(slots, wanted) {
			rt.Fatalf("%d of %d slots assigned, %d wanted", total, slots, wanted)
		}
	})
	t.Logf("largest deviation: %.2f slots", worst)
}

func TestWaterFillRedistributesUnusedShares(t *testing.T) {
	got := share.WaterFill(10, []share.Demand{{Name: "a", Weight: 1, Wanted: 1}, {Name: "b", Weight: 1, Wanted: 20}, {Name: "c", Weight: 2, Wanted: 20}})
	assert.DeepEqual(t, got, []float64{1, 3, 6})
}
