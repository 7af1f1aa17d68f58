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
	reg := idempotency.NewRegistry()
	reg, fresh := reg.WithReservation(noon, "k", "a", 1)
	assert.Assert(t, fresh)
	_, fresh = reg.WithReservation(noon, "k", "a", 1)
	assert.Assert(t, fresh, "repeating a request must return the same result")
	_, fresh = reg.WithReservation(noon, "k", "a", 2)
	assert.Assert(t, !fresh)
	_, fresh = reg.WithReservation(noon, "k", "b", 1)
	assert.Assert(t, !fresh)
	_, fresh = reg.WithReservation(noon.Add(idempotency.KeyRetention+1), "k", "b", 1)
	assert.Assert(t, fresh)
}

func TestOnlyTheOwnerReleasesAKey(t *testing.T) {
	reg, _ := idempotency.NewRegistry().WithReservation(noon, "k", "a", 1)
	_, fresh := reg.WithoutReservation("k", "b").WithReservation(noon, "k", "b", 1)
	assert.Assert(t, !fresh)
	_, fresh = reg.WithoutReservation("k", "a").WithReservation(noon, "k", "b", 1)
	assert.Assert(t, fresh)
}

// TestEveryReplicaHasItsKeysAfterVotersChange replaces voters one by one and
// transfers keys each time.
func TestEveryReplicaHasItsKeysAfterVotersChange(t *testing.T) {
	voters := []string{"m0", "m1", "m2", "m3", "m4"}
	registries := map[string]idempotency.Registry{}
	for _, id := range voters {
		registries[id] = idempotency.NewRegistry()
	}
	var hashes []string
	for i := range 50 {
		hash := fmt.Sprint("hash", i)
		hashes = append(hashes, hash)
		for _, replica := range idempotency.Replicas(voters, hash) {
			registries[replica], _ = registries[replica].WithReservation(noon, hash, "owner", 1)
		}
	}
	for i := range 10 {
		next := append(slices.Clone(voters[1:]), fmt.Sprint("new", i))
		registries[next[4]] = idempotency.NewRegistry()
		for _, id := range voters[1:] {
			for _, hdo := range registries[id].Handovers(noon, id, voters, next) {
				registries[hdo.To] = registries[hdo.To].WithKeys(noon, hdo.Keys)
			}
		}
		voters = next
	}
	for _, hash := range hashes {
		for _, replica := range idempotency.Replicas(voters, hash) {
			_, fresh := registries[replica].WithReservation(noon, hash, "other", 1)
			assert.Assert(t, !fresh, "key %s is not recorded at replica %s", hash, replica)
		}
	}
}
