package manager

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// loseSubmissions has submissions get no answer and be carried out after a delay.
func (clu *cluster) loseSubmissions(delay time.Duration) {
	clu.sit.Store.LoseAnswers(func(puts map[string][]byte) (time.Duration, bool) {
		for key := range puts {
			if strings.HasPrefix(key, "live/") && !strings.HasSuffix(key, "/cancel") {
				return delay, true
			}
		}
		return 0, false
	})
}

// TestCancelOfUnansweredSubmission guards against a job that runs after its cancelling was
// acknowledged: the store carries its submission out later.
func TestCancelOfUnansweredSubmission(t *testing.T) {
	clu := newCluster(t, 2, 2, 50*time.Millisecond)
	clu.loseSubmissions(3500 * time.Millisecond)
	const id = "0000000000000001"
	assert.Equal(t, clu.status(http.MethodPost, clu.jobURL(0, "/gate/", 1), "k1", jobBody), http.StatusGatewayTimeout)
	clu.sit.Store.LoseAnswers(nil)
	assert.Equal(t, clu.status(http.MethodDelete, clu.jobURL(1, "/gate/", 1), "k1", ""), http.StatusGone)
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		assert.Equal(t, clu.sit.StartedRuns(id), 0, "a task was started after the cancelling")
		assert.Equal(t, clu.status(http.MethodGet, clu.jobURL(0, "/gate/", 1), "k1", ""), http.StatusGone)
	}
	// The client's retry may arrive later than the cancellation.
	assert.Equal(t, clu.status(http.MethodPost, clu.jobURL(0, "/gate/", 1), "k1", jobBody), http.StatusTooManyRequests)
	assert.Equal(t, clu.sit.StartedRuns(id), 0)
}
