package table_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/balsamgauge/balsamgauge/pkg/table"
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

func apply(t fataler, cfg *table.Config, chg table.Change) *table.Config {
	next, err := cfg.Apply(chg, "nonce")
	if err != nil {
		t.Fatalf("apply %T: %v", chg, err)
	}
	return next
}

// fataler is the common part of testing.T and rapid.T.
type fataler interface {
	Fatalf(format string, args ...any)
}

func teams(limits ...int) table.Tables {
	var tbs table.Tables
	for i, limit := range limits {
		tbs.Teams = append(tbs.Teams, table.Team{Name: fmt.Sprintf("t%d", i), Share: 1, Limit: limit})
	}
	return tbs
}

func sumPermits(cfg *table.Config, team string) int {
	total := 0
	for _, alm := range cfg.Allotments {
		if alm.Team == team {
			total += alm.Permits
		}
	}
	return total
}

// TestAllotmentsAlwaysSumToTheLimit raises and lowers limits while voters join
// and leave with random transfers to settle.
func TestAllotmentsAlwaysSumToTheLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cfg := apply(rt, table.Empty(), table.VoterJoined{Voter: table.Voter{ID: "m0"}})
		limits := rapid.SliceOfN(rapid.IntRange(1, 100), 1, 4)
		cfg = apply(rt, cfg, table.TablesReplaced{Tables: teams(limits.Draw(rt, "limits")...)})
		for step := range rapid.IntRange(1, 12).Draw(rt, "steps") {
			switch rapid.IntRange(0, 2).Draw(rt, "kind") {
			case 0:
				cfg = apply(rt, cfg, table.TablesReplaced{Tables: teams(limits.Draw(rt, "limits")...)})
			case 1:
				cfg = apply(rt, cfg, table.VoterJoined{Voter: table.Voter{ID: fmt.Sprintf("j%d", step)}})
			case 2:
				cfg = removeRandomVoter(rt, cfg)
			}
			for _, tea := range cfg.Tables.Teams {
				if got := sumPermits(cfg, tea.Name); len(cfg.Voters) > 0 && got != tea.Limit {
					rt.Fatalf("team %s: permits sum to %d, want %d", tea.Name, got, tea.Limit)
				}
			}
		}
	})
}

func removeRandomVoter(rt *rapid.T, cfg *table.Config) *table.Config {
	if len(cfg.Voters) < 2 {
		return cfg
	}
	removed := cfg.Voters[rapid.IntRange(0, len(cfg.Voters)-1).Draw(rt, "gone")].ID
	chg := table.VotersRemoved{IDs: []string{removed}}
	for _, id := range cfg.VoterIDs() {
		if id == removed {
			continue
		}
		stl := table.Settlement{Member: id}
		for _, tea := range cfg.Tables.Teams {
			stl.Net = append(stl.Net, table.TeamPermits{Team: tea.Name, Permits: rapid.IntRange(-5, 5).Draw(rt, "net")})
			stl.Debts = append(stl.Debts, table.TeamPermits{Team: tea.Name, Permits: rapid.IntRange(0, 3).Draw(rt, "debt")})
		}
		chg.Settlements = append(chg.Settlements, stl)
	}
	return apply(rt, cfg, chg)
}

func TestRemovalRequiresEverySettlement(t *testing.T) {
	cfg := table.Empty()
	for _, id := range []string{"a", "b", "c"} {
		cfg = apply(t, cfg, table.VoterJoined{Voter: table.Voter{ID: id}})
	}
	_, err := cfg.Apply(table.VotersRemoved{IDs: []string{"a"}, Settlements: []table.Settlement{{Member: "b"}}}, "n")
	assert.ErrorContains(t, err, `"c" has not settled`)
}

func TestVMIsInOnePool(t *testing.T) {
	tbs := table.Tables{Pools: []table.Pool{
		{Name: "p", Service: table.ServiceExecutor, Budget: 1, MaxWaiting: 1},
		{Name: "q", Service: table.ServiceExecutor, Budget: 1, MaxWaiting: 1},
	}}
	cfg := apply(t, table.Empty(), table.TablesReplaced{Tables: tbs})
	cfg = apply(t, cfg, table.VMsAssigned{VMs: []table.Assignment{{VM: "v", Pool: "p"}}})
	cfg = apply(t, cfg, table.VMsAssigned{VMs: []table.Assignment{{VM: "v", Pool: "q"}}})
	assert.DeepEqual(t, cfg.VMs, []table.Assignment{{VM: "v", Pool: "q"}})
	_, err := cfg.Apply(table.VMsAssigned{VMs: []table.Assignment{{VM: "v", Pool: "nowhere"}}}, "n")
	assert.ErrorContains(t, err, "no pool is named")
}

func TestInvalidChangeIsRefused(t *testing.T) {
	cfg := apply(t, table.Empty(), table.TablesReplaced{Tables: teams(1)})
	for _, chg := range []table.Change{
		table.KeyGranted{Key: table.Key{Hash: "h", Name: "n", Team: "strangers"}},
		table.KeyWithdrawn{Name: "n"},
		table.AZSet{AZ: "nowhere", Out: true},
		table.TablesReplaced{Tables: teams(0)},
		table.VotersRemoved{IDs: []string{"nobody"}},
	} {
		_, err := cfg.Apply(chg, "n")
		assert.Assert(t, err != nil, "%T", chg)
	}
	assert.Equal(t, cfg.Revision, int64(1))
}

// TestEditRoundTrip encodes and decodes each kind of change.
func TestEditRoundTrip(t *testing.T) {
	for _, chg := range []table.Change{
		table.TablesReplaced{Tables: teams(3)},
		table.KeyGranted{Key: table.Key{Hash: "h", Name: "n", Team: "t0"}},
		table.KeyWithdrawn{Name: "n"},
		table.AZSet{AZ: "a", Out: true},
		table.VMsAssigned{VMs: []table.Assignment{{VM: "v", Pool: "p"}}},
		table.VoterJoined{Voter: table.Voter{ID: "m"}},
		table.VotersRemoved{IDs: []string{"m"}, Settlements: []table.Settlement{{Member: "k"}}},
	} {
		data, err := json.Marshal(table.NewEdit(7, "nonce", chg))
		assert.NilError(t, err)
		var edi table.Edit
		assert.NilError(t, json.Unmarshal(data, &edi))
		back, err := edi.Change()
		assert.NilError(t, err)
		assert.DeepEqual(t, back, chg)
	}
	_, err := table.Edit{}.Change()
	assert.Assert(t, err != nil)
}
