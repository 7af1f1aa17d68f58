package manager

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestJobThatCannotBeRecorded guards against a client that is told to try again for a job
// that the store can't hold: each byte of its text that isn't valid UTF-8 is stored as
// three. The reason is in the answer and in the log, and other jobs are accepted.
func TestJobThatCannotBeRecorded(t *testing.T) {
	clu := newCluster(t, 1, 1, 10*time.Millisecond)
	body := `{"spec":"` + strings.Repeat("\xff", 400_000) + `","steps":[{"count":1,"cpu":500}]}`
	status, text := clu.call(http.MethodPost, clu.jobURL(0, "/gate/", 1), "k1", body)
	assert.Equal(t, status, http.StatusBadRequest, text)
	const reason = "could not be recorded"
	assert.Assert(t, strings.Contains(text, reason), text)
	// A call is logged after its answer.
	clu.await("the reason in the log", func() bool { return len(clu.out.lines(reason)) > 0 })
	status, text = clu.call(http.MethodPost, clu.jobURL(0, "/gate/", 2), "k1", strings.Replace(body, strings.Repeat("\xff", 399_000), "", 1))
	assert.Equal(t, status, http.StatusOK, text)
}
