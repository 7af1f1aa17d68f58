package job

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestOddRecord guards against a record whose numbers index what isn't there, or
// count more tasks than a job may have.
func TestOddRecord(t *testing.T) {
	good := Spec{ID: "j", Steps: []Step{{Count: 1}, {Count: 2, After: []int{0}}}, Accepted: time.Unix(1, 0)}
	with := func(change func(spe *Spec)) Spec {
		spe := good
		spe.Steps = []Step{good.Steps[0], good.Steps[1]}
		change(&spe)
		return spe
	}
	for name, spe := range map[string]Spec{
		"after a step that isn't there": with(func(spe *Spec) { spe.Steps[1].After = []int{7} }),
		"after a negative step":         with(func(spe *Spec) { spe.Steps[1].After = []int{-1} }),
		"after itself":                  with(func(spe *Spec) { spe.Steps[1].After = []int{1} }),
		"negative count":                with(func(spe *Spec) { spe.Steps[0].Count = -1 }),
		"huge count":                    with(func(spe *Spec) { spe.Steps[0].Count = 1 << 50 }),
		"too many steps":                with(func(spe *Spec) { spe.Steps = make([]Step, MaxSteps+1) }),
		"negative occurrences":          with(func(spe *Spec) { spe.Occurrences = -1 }),
		"huge occurrences":              with(func(spe *Spec) { spe.Occurrences = 1 << 50 }),
		"no ID":                         with(func(spe *Spec) { spe.ID = "" }),
	} {
		raw, err := Marshal(spe)
		assert.NilError(t, err)
		_, err = Unmarshal[Spec](raw)
		assert.Assert(t, err != nil, name)
	}
	raw, err := Marshal(good)
	assert.NilError(t, err)
	_, err = Unmarshal[Spec](raw)
	assert.NilError(t, err)
	// A limit that came later than the record doesn't lose the job.
	raw, err = Marshal(with(func(spe *Spec) { spe.Steps[0].Estimate, spe.Steps[0].Size.CPU = 2*MaxDuration, 2*MaxAmount }))
	assert.NilError(t, err)
	_, err = Unmarshal[Spec](raw)
	assert.NilError(t, err)
	for name, rec := range map[string]TaskRecord{
		"negative occurrence": {Occurrence: -1}, "negative step": {Step: -1}, "negative index": {Index: -1}, "negative run": {Run: -1},
	} {
		raw, err := Marshal(Progress{Tasks: []TaskRecord{{}, rec}})
		assert.NilError(t, err)
		_, err = Unmarshal[Progress](raw)
		assert.Assert(t, err != nil, name)
	}
}
