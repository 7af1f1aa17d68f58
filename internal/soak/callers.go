package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/clock"
	"github.com/balsamgauge/balsamgauge/internal/soak/ledger"
	"github.com/balsamgauge/balsamgauge/internal/standin/site"
)

// Timeouts and intervals of callers.
const (
	// callTimeout is the time that a caller waits for a reply.
	callTimeout = 3 * time.Second
	// submitTimeout is the time for which a caller retries the submission of a job.
	submitTimeout = 12 * time.Second
	retryInterval = 150 * time.Millisecond
	pollInterval  = 400 * time.Millisecond
	// unreadWindow is the time after sending within which a process that shuts
	// down may cut a request, because it may not have read it yet.
	unreadWindow = 200 * time.Millisecond
)

// accounts are the client accounts; the first has a cap.
var accounts = []string{"small", "large"}

// caller submits jobs and polls their states until it is stopped.
type caller struct {
	run    *Run
	number int
	// annex is set if the caller submits to the annex only, long if it submits jobs
	// with long tasks only.
	annex  bool
	long   bool
	rng    *rand.Rand
	client *http.Client
	sent   int
}

func newCaller(run *Run, number int) *caller {
	return &caller{
		run: run, number: number, rng: rand.New(rand.NewPCG(run.opt.Seed, uint64(100+number))),
		client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 2}},
	}
}

// work submits one job after another until ctx is done, and polls each until it
// has ended or settleCtx is done.
func (cal *caller) work(ctx, settleCtx context.Context) {
	var polls sync.WaitGroup
	for ctx.Err() == nil {
		job := cal.nextJob()
		seed := cal.rng.Uint64()
		if cal.submit(ctx, job) {
			polls.Go(func() { cal.pollJob(settleCtx, job, rand.New(rand.NewPCG(seed, 1))) })
		}
		clock.Pause(ctx, time.Duration(cal.rng.Int64N(int64(600*time.Millisecond))))
	}
	polls.Wait()
}

// One job in wideJobRatio has wide steps, of wideStepTasks small tasks each. Every
// second one of them has slow tasks, which more faults fall on.
const (
	wideJobRatio  = 8
	wideStepTasks = 8
	wideStepCPU   = 500
)

// nextJob returns a random job of the caller's queue.
func (cal *caller) nextJob() ledger.Job {
	if cal.annex {
		return cal.annexJob()
	}
	if cal.long {
		return cal.longJob()
	}
	return cal.newJob()
}

// jobOf returns a job without steps.
func (cal *caller) jobOf(path, account string, attempts int) ledger.Job {
	return ledger.Job{
		ID: fmt.Sprintf("%08x%08x", cal.number, cal.sent), Account: account, Payload: fmt.Sprintf("%d-%d", cal.number, cal.sent),
		Path: path, Pool: queuePool, Attempts: attempts,
	}
}

// newJob returns a random job: one in 20 has lasting tasks, the others have up to
// three steps.
func (cal *caller) newJob() ledger.Job {
	cal.sent++
	job := cal.jobOf(queuePrefix, accounts[cal.rng.IntN(len(accounts))], ledger.PlatformBounds.Attempts)
	if cal.rng.IntN(20) == 0 {
		job.Steps = []ledger.Step{{Count: 2, CPU: 500, Lasting: true}}
		return job
	}
	for i := range 1 + cal.rng.IntN(3) {
		ste := ledger.Step{Count: 1 + cal.rng.IntN(4), CPU: 500 * (1 + cal.rng.Int64N(4))}
		if cal.sent%wideJobRatio == 0 {
			ste.Count, ste.CPU, ste.Slow = wideStepTasks, wideStepCPU, cal.sent%(2*wideJobRatio) == 0
		}
		if i > 0 {
			ste.After = []int{i - 1}
		}
		job.Steps = append(job.Steps, ste)
	}
	return job
}

// Durations that callers estimate for tasks.
const (
	taskEstimate     = 300 * time.Millisecond
	slowTaskEstimate = 2 * time.Second
)

// estimate returns the duration that callers estimate for the tasks of a step.
func estimate(ste ledger.Step) time.Duration {
	switch {
	case ste.Long:
		return longTaskEstimate
	case ste.Slow:
		return slowTaskEstimate
	default:
		return taskEstimate
	}
}

// jobBody returns the request body that submits a job.
func jobBody(job ledger.Job) string {
	steps := make([]site.Step, len(job.Steps))
	for i, ste := range job.Steps {
		steps[i] = site.Step{Count: ste.Count, CPU: ste.CPU, Estimate: estimate(ste), After: ste.After, Lasting: ste.Lasting}
	}
	return site.JobBody(job.Payload, steps)
}

// submit sends a job to random processes until one accepts it. It reports whether
// one did before submitTimeout.
func (cal *caller) submit(ctx context.Context, job ledger.Job) bool {
	text := jobBody(job)
	for end := time.Now().Add(submitTimeout); time.Now().Before(end) && ctx.Err() == nil; {
		key := cal.run.key(job.Account)
		cal.run.ledger.Submitted(job)
		sent := time.Now()
		nod, status, _ := cal.call(cal.rng, http.MethodPost, job, key, text)
		out := ledger.Unanswered
		switch status {
		case http.StatusOK:
			out = ledger.Accepted
		case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusUnauthorized:
			out = ledger.Refused
		case 0, http.StatusGatewayTimeout, http.StatusBadGateway:
		case http.StatusNotFound:
			out = ledger.Refused
			// The annex is the only queue that is removed at times.
			if job.Path != annexPrefix {
				cal.run.ledger.AddViolation(time.Now(), fmt.Sprintf("submission of job %s was answered with status %d", job.ID, status))
			}
		default:
			cal.run.ledger.AddViolation(time.Now(), fmt.Sprintf("submission of job %s was answered with status %d", job.ID, status))
		}
		cal.run.ledger.Answered(time.Now(), sent, job.ID, key, out)
		if out == ledger.Accepted {
			cal.run.answered(nod)
			return true
		}
		if out == ledger.Unanswered && cal.run.opt.LateWrites && cal.rng.IntN(2) == 0 {
			cal.giveUp(ctx, job)
			return false
		}
		clock.Pause(ctx, retryInterval)
	}
	return false
}

// pollJob requests the state of a job until it has ended. One job in 8 is
// cancelled after a few polls, lasting jobs once all faults have long ended.
func (cal *caller) pollJob(settleCtx context.Context, job ledger.Job, rng *rand.Rand) {
	cancelAfter := -1
	if rng.IntN(8) == 0 {
		cancelAfter = rng.IntN(4)
	}
	for polls := 0; settleCtx.Err() == nil; polls++ {
		clock.Pause(settleCtx, pollInterval)
		endLasting := false
		if job.Steps[0].Lasting {
			select {
			case <-cal.run.calm:
				endLasting = true
			default:
			}
		}
		if (polls == cancelAfter || endLasting) && cal.cancel(settleCtx, rng, job) {
			return
		}
		state := cal.state(rng, job)
		if state == "" {
			continue
		}
		cal.run.ledger.StateReported(time.Now(), job.ID, state)
		if state == "completed" || state == "failed" || state == "cancelled" || state == "gone" {
			return
		}
	}
}

// state queries the state of a job, which is "gone" if the reply is that no such
// job exists. It is empty if there was no reply.
func (cal *caller) state(rng *rand.Rand, job ledger.Job) string {
	_, status, text := cal.call(rng, http.MethodGet, job, cal.run.key(job.Account), "")
	switch status {
	case http.StatusGone:
		return "gone"
	case http.StatusOK:
		var ans struct {
			State string `json:"state"`
		}
		if err := json.Unmarshal([]byte(text), &ans); err != nil {
			cal.run.ledger.AddViolation(time.Now(), fmt.Sprintf("state of job %s: %q: %v", job.ID, text, err))
		}
		return ans.State
	default:
		return ""
	}
}

// cancel cancels a job. It reports whether the cancellation was acknowledged or
// the job does not exist.
func (cal *caller) cancel(settleCtx context.Context, rng *rand.Rand, job ledger.Job) bool {
	for settleCtx.Err() == nil {
		_, status, text := cal.call(rng, http.MethodDelete, job, cal.run.key(job.Account), "")
		switch {
		case status == http.StatusOK && strings.Contains(text, `"cancelled"`):
			cal.run.ledger.Cancelled(time.Now(), job.ID)
			return true
		case status == http.StatusOK:
			// The job had already ended.
			return false
		case status == http.StatusGone:
			cal.run.ledger.StateReported(time.Now(), job.ID, "gone")
			return true
		}
		clock.Pause(settleCtx, retryInterval)
	}
	return false
}

// call sends a request to a random process, which it returns. The status is 0 if no
// reply was received.
func (cal *caller) call(rng *rand.Rand, method string, job ledger.Job, key, text string) (nod *node, status int, answer string) {
	nod = cal.run.nodes[rng.IntN(len(cal.run.nodes))]
	req, err := http.NewRequest(method, "http://"+nod.callersAddress+job.Path+job.ID, strings.NewReader(text))
	if err != nil {
		panic(err)
	}
	req.Host = site.Host
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(callTimeout.Milliseconds()))
	sent := time.Now()
	rsp, err := cal.client.Do(req)
	if err == nil {
		defer func() { _ = rsp.Body.Close() }()
		raw, readErr := io.ReadAll(rsp.Body)
		if readErr == nil {
			return nod, rsp.StatusCode, string(raw)
		}
		err = readErr
	}
	if took := time.Since(sent); mayHaveBeenRead(err, took) && !nod.disruptedAt(sent) && !nod.disruptedAt(time.Now()) {
		cal.run.ledger.AddViolation(time.Now(), fmt.Sprintf("%s of job %s was cut by %s after %v: %v", method, job.ID, nod.name, took, err))
	}
	return nod, 0, ""
}

// mayHaveBeenRead reports whether a process may have read a request that failed after
// a time. A process answers every request that it has read, also while it shuts down.
// It has not read one for which there was no connection, however late the caller
// notices that. It may not have read one that fails within unreadWindow, and the caller
// may have given up one that fails near callTimeout.
func mayHaveBeenRead(err error, took time.Duration) bool {
	var failed *net.OpError
	if errors.As(err, &failed) && failed.Op == "dial" {
		return false
	}
	return took > unreadWindow && took < callTimeout-unreadWindow
}
