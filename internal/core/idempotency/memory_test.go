package idempotency_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/idempotency"
	"gotest.tools/v3/assert"
)

var noon = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

func TestKeyIsNewOnce(t *testing.T) {
	mem := idempotency.NewRegistry()
	mem, fresh := mem.WithReservation(noon, "k", "a", 1)
	assert.Assert(t, fresh)
	_, fresh = mem.WithReservation(noon, "k", "a", 1)
	assert.Assert(t, fresh, "the same question gets the same answer")
	_, fresh = mem.WithReservation(noon, "k", "a", 2)
	assert.Assert(t, !fresh)
	_, fresh = mem.WithReservation(noon, "k", "b", 1)
	assert.Assert(t, !fresh)
	_, fresh = mem.WithReservation(noon.Add(idempotency.KeyRetention+1), "k", "b", 1)
	assert.Assert(t, fresh)
}

func TestOnlyTheOwnerReleasesAKey(t *testing.T) {
	mem, _ := idempotency.NewRegistry().WithReservation(noon, "k", "a", 1)
	_, fresh := mem.WithoutReservation("k", "b").WithReservation(noon, "k", "b", 1)
	assert.Assert(t, !fresh)
	_, fresh = mem.WithoutReservation("k", "a").WithReservation(noon, "k", "b", 1)
	assert.Assert(t, fresh)
}

// TestEveryHomeKnowsItsKeysAfterVotersChange replaces voters one by one, and
// hands keys on each time.
func TestEveryHomeKnowsItsKeysAfterVotersChange(t *testing.T) {
	voters := []string{"m0", "m1", "m2", "m3", "m4"}
	memories := map[string]idempotency.Registry{}
	for _, id := range voters {
		memories[id] = idempotency.NewRegistry()
	}
	var hashes []string
	for i := range 50 {
		hash := fmt.Sprint("hash", i)
		hashes = append(hashes, hash)
		for _, home := range idempotency.Replicas(voters, hash) {
			memories[home], _ = memories[home].WithReservation(noon, hash, "owner", 1)
		}
	}
	for i := range 10 {
		next := append(slices.Clone(voters[1:]), fmt.Sprint("new", i))
		memories[next[4]] = idempotency.NewRegistry()
		for _, id := range voters[1:] {
			for _, hdo := range memories[id].Handovers(noon, id, voters, next) {
				memories[hdo.To] = memories[hdo.To].WithKeys(noon, hdo.Keys)
			}
		}
		voters = next
	}
	for _, hash := range hashes {
		for _, home := range idempotency.Replicas(voters, hash) {
			_, fresh := memories[home].WithReservation(noon, hash, "other", 1)
			assert.Assert(t, !fresh, "%s is new at %s", hash, home)
		}
	}
}
