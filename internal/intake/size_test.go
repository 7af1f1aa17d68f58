package intake

import (
	"context"
	"strings"
	"testing"

	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"github.com/balsamgauge/balsamgauge/internal/kv"
	"gotest.tools/v3/assert"
)

// TestJobAboveLimitOfStore guards against a job that can never be recorded and whose client
// is told to try again (unavailable): it is refused at once, with the reason and without a
// write.
func TestJobAboveLimitOfStore(t *testing.T) {
	manySteps := func() (steps []job.Step) {
		for range job.MaxSteps {
			steps = append(steps, job.Step{Count: 50, Size: job.Size{CPU: 1}})
		}
		return steps
	}
	for name, tst := range map[string]struct {
		change  func(spe *job.Spec)
		limit   int
		verdict Verdict
		reason  string
	}{
		"large payload":        {func(spe *job.Spec) { spe.Payload = strings.Repeat("x", 1<<20) }, kv.MaxValueBytes, VerdictInvalid, "could not be recorded"},
		"payload within limit": {func(spe *job.Spec) { spe.Payload = strings.Repeat("x", 1<<20-1000) }, kv.MaxValueBytes, VerdictOK, ""},
		"large labels": {func(spe *job.Spec) {
			spe.Steps = manySteps()
			for i := range spe.Steps {
				spe.Steps[i].Label = strings.Repeat("l", 1100)
			}
		}, kv.MaxValueBytes, VerdictInvalid, "could not be recorded"},
		"most steps": {func(spe *job.Spec) {
			spe.Steps = manySteps()
			for i := range spe.Steps {
				for dep := range min(i, 250) {
					spe.Steps[i].After = append(spe.Steps[i].After, dep)
				}
			}
		}, kv.MaxValueBytes, VerdictOK, ""},
		"most tasks":           {func(spe *job.Spec) { spe.Steps = manySteps() }, kv.MaxValueBytes, VerdictOK, ""},
		"progress too large":   {func(spe *job.Spec) { spe.Steps[0].Count = 10_000 }, 100_000, VerdictInvalid, "the progress of 2500 of its tasks with 3 attempts"},
		"a smaller store":      {func(*job.Spec) {}, 1000, VerdictOK, ""},
		"a much smaller store": {func(*job.Spec) {}, 50, VerdictInvalid, "could not be recorded"},
	} {
		t.Run(name, func(t *testing.T) {
			sto := &scriptedStore{}
			svc := newService(sto, 0)
			svc.MaxValueBytes = func() int { return tst.limit }
			spe := oneStepJob()
			tst.change(&spe)
			ans := svc.Submit(context.Background(), noon, Call{Host: "h", Path: "/g/1", Key: "k"}, spe)
			assert.Equal(t, ans.Verdict, tst.verdict, ans.Reason)
			assert.Assert(t, strings.Contains(ans.Reason, tst.reason), ans.Reason)
			assert.Equal(t, len(sto.commits) == 0, tst.verdict == VerdictInvalid)
			for _, txn := range sto.commits {
				assert.Assert(t, len(txn.Puts[0].Value) <= tst.limit)
			}
		})
	}
}

// TestJobRejectedByStore checks that a job that the store rejects, for a limit that isn't
// known here, is refused for good.
func TestJobRejectedByStore(t *testing.T) {
	sto := &scriptedStore{errs: []error{kv.ErrRejected}}
	ans := newService(sto, 0).Submit(context.Background(), noon, Call{Host: "h", Path: "/g/1", Key: "k"}, oneStepJob())
	assert.Equal(t, ans.Verdict, VerdictInvalid)
	assert.Equal(t, ans.Reason, kv.ErrRejected.Error())
}
